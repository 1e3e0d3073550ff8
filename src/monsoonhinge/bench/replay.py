"""Replays a trace through the decision core under a virtual clock."""

import collections
import dataclasses
import heapq
import itertools
import math
from typing import Any

from monsoonhinge.bench import policies
from monsoonhinge.bench import traces
from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import demand
from monsoonhinge.scheduler import ledger as replica_ledger
from monsoonhinge.scheduler import planner as planning
from monsoonhinge.scheduler import weightstore

_TICK_S = 1.0
_UNLOAD_S = 0.2
_ADAPTER_LOAD_S = 0.015
_FULL_SPEED_LOADS = 4


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a replay measured.

    Attributes:
        waits_s: Wait for a model of each admitted request; a request that
            missed its deadline counts with its whole timeout.
        idle_s: Accelerator seconds of loaded replicas without a request.
        served: Tokens of served requests, by team.
        ideal: Tokens that an ideal bucket would have admitted, by team.
        admitted: Requests that the token policy admitted.
        within_rate: Requests that an ideal bucket would have admitted.
        wrongly_refused: Those of them that the token policy refused.
        expired: Requests that missed their deadline.
    """

    waits_s: list[float] = dataclasses.field(default_factory=list)
    idle_s: float = 0.0
    served: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    ideal: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    admitted: int = 0
    within_rate: int = 0
    wrongly_refused: int = 0
    expired: int = 0

    def wait_s(self, share: float) -> float:
        """Returns a percentile of the waits."""
        ordered = sorted(self.waits_s)
        index = math.ceil(share * len(ordered)) - 1
        return ordered[max(0, index)] if ordered else 0.0

    def worst_share(self) -> float:
        """Returns served over ideal tokens of the worst-served team."""
        return min(
            (
                min(1.0, self.served[team] / ideal)
                for team, ideal in self.ideal.items()
            ),
            default=1.0,
        )


@dataclasses.dataclass(slots=True)
class _Request:
    at: float
    event: dict[str, Any]
    deadline: float


@dataclasses.dataclass(slots=True)
class _Fake:
    """A target as it announces itself."""

    state: messages.TargetState
    alive: bool = True
    idle_from: dict[str, float] = dataclasses.field(default_factory=dict)


class Replay:
    """One trace under one policy."""

    def __init__(
        self, trace: traces.Trace, candidate: policies.Candidate
    ) -> None:
        objects = [schema.parse(item) for item in trace.header["objects"]]
        self.view = config_view.View(
            version=1,
            objects={schema.object_id(item): item for item in objects},
        )
        self.result = Outcome()
        self._duration_s = trace.header["duration_s"]
        gateways = traces.DEPLOYMENTS[trace.header["deployment"]].gateways
        self._tokens = candidate.tokens(self.view.teams, gateways)
        self._ideal = policies.IdealTokens(self.view.teams)
        ids = itertools.count()
        self._planner = planning.Planner(
            ledger=replica_ledger.Ledger(footprint_bytes=lambda *_: 0),
            store=weightstore.WeightStore(self.view.store, now=0.0),
            keep_alive=candidate.retention(self.view.policy),
            new_id=lambda: f"d{next(ids)}",
        )
        self._planner.store.configure(
            self.view.store,
            {name: team.weight for name, team in self.view.teams.items()},
        )
        self._fleet = {
            item["target"]: _Fake(
                messages.TargetState(
                    incarnation=1, kind="engine", checks_fencing=True, **item
                )
            )
            for item in trace.header["targets"]
        }
        self._queue: list[tuple[float, int, str, Any]] = []
        self._order = itertools.count()
        self._waiting: dict[demand.DemandKey, list[_Request]] = {}
        self._running: collections.Counter[demand.DemandKey] = (
            collections.Counter()
        )
        self._factor = 1.0
        self._loads = 0
        self._withdrawn: set[str] = set()
        for event in trace.events:
            self._at(event["t"], event["kind"], event)

    def run(self) -> Outcome:
        """Runs the trace to its end."""
        for fake in self._fleet.values():
            self._announce(fake, 0.0)
        self._at(0.0, "tick", None)
        while self._queue and self._queue[0][0] <= self._duration_s:
            now, _, kind, value = heapq.heappop(self._queue)
            getattr(self, f"_on_{kind}")(now, value)
        for fake in self._fleet.values():
            for since in fake.idle_from.values():
                self.result.idle_s += self._duration_s - since
        return self.result

    def _at(self, at: float, kind: str, value: Any) -> None:
        heapq.heappush(self._queue, (at, next(self._order), kind, value))

    def _on_tick(self, now: float, value: None) -> None:
        self._at(now + _TICK_S, "tick", None)
        for requests in self._waiting.values():
            for request in [r for r in requests if r.deadline <= now]:
                requests.remove(request)
                self.result.expired += 1
                self.result.waits_s.append(request.deadline - request.at)
        self._plan(now)

    def _on_request(self, now: float, event: dict[str, Any]) -> None:
        team, tokens = event["team"], event["tokens"]
        if team in self._withdrawn:
            return
        allowed = self._ideal.take(event["gateway"], team, tokens, now)
        admitted = self._tokens.take(event["gateway"], team, tokens, now)
        if allowed:
            self.result.ideal[team] += tokens
            self.result.within_rate += 1
            self.result.wrongly_refused += not admitted
        if admitted:
            self.result.admitted += 1
            key = (event["model"], event["adapter"])
            request = _Request(now, event, now + event["timeout_s"])
            self._waiting.setdefault(key, []).append(request)
            self._dispatch(now)
            if self._waiting[key]:
                self._plan(now)

    def _on_store(self, now: float, event: dict[str, Any]) -> None:
        self._factor = event["factor"]

    def _on_withdrawn(self, now: float, event: dict[str, Any]) -> None:
        self._withdrawn.add(event["team"])

    def _on_lost(self, now: float, event: dict[str, Any]) -> None:
        fake = self._fleet[event["target"]]
        fake.alive = False
        for since in fake.idle_from.values():
            self.result.idle_s += now - since
        fake.idle_from = {}
        fake.state.replicas = []
        self._at(now + 3.0, "expired", event["target"])

    def _on_expired(self, now: float, target: str) -> None:
        if not self._fleet[target].alive:
            self._planner.expire(target, now)
            self._plan(now)

    def _on_back(self, now: float, event: dict[str, Any]) -> None:
        fake = self._fleet[event["target"]]
        fake.alive = True
        fake.state.incarnation += 1
        self._announce(fake, now)

    def _on_loaded(self, now: float, change: commands.ReplicaChange) -> None:
        self._loads -= 1
        fake = self._fleet[change.target]
        replica = self._replica(change)
        if replica is None:
            return
        replica.state = "loaded"
        fake.idle_from[change.decision_id] = now
        self._announce(fake, now)
        self._dispatch(now)
        self._plan(now)

    def _on_unloaded(self, now: float, change: commands.ReplicaChange) -> None:
        fake = self._fleet[change.target]
        replica = self._replica(change)
        if replica is not None:
            fake.state.replicas.remove(replica)
            since = fake.idle_from.pop(change.decision_id, now)
            self.result.idle_s += now - since
            self._announce(fake, now)
            self._plan(now)

    def _on_adapter(self, now: float, change: commands.ReplicaChange) -> None:
        fake = self._fleet[change.target]
        order_id = change.decision_id.rpartition("/")[0]
        for replica in fake.state.replicas:
            if replica.order_id != order_id:
                continue
            if change.action == "load_adapter":
                replica.adapters.append(change.adapter)
            elif change.adapter in replica.adapters:
                replica.adapters.remove(change.adapter)
        self._announce(fake, now)
        self._dispatch(now)
        self._plan(now)

    def _on_served(self, now: float, value: tuple[Any, ...]) -> None:
        fake, incarnation, replica, request = value
        event = request.event
        self._running[event["model"], event["adapter"]] -= 1
        if fake.alive and fake.state.incarnation == incarnation:
            self.result.served[event["team"]] += event["tokens"]
            replica.running -= 1
            if not replica.running:
                fake.idle_from[replica.order_id] = now
            self._announce(fake, now)
        self._planner.keep_alive.update(self._active(), now)
        self._dispatch(now)

    def _replica(
        self, change: commands.ReplicaChange
    ) -> messages.ReplicaState | None:
        fake = self._fleet[change.target]
        for replica in fake.state.replicas:
            if replica.order_id == change.decision_id:
                return replica
        return None

    def _active(self) -> set[str]:
        return {key[0] for key, waiting in self._waiting.items() if waiting} | {
            key[0] for key, count in self._running.items() if count
        }

    def _dispatch(self, now: float) -> None:
        for key, requests in self._waiting.items():
            while requests:
                found = self._free_replica(*key)
                if found is None:
                    break
                self._serve(now, key, requests.pop(0), *found)

    def _free_replica(
        self, model: str, adapter: str
    ) -> tuple[_Fake, messages.ReplicaState] | None:
        limit = self.view.models[model].max_concurrency
        unloading = {
            replica.replica_id
            for replica in self._planner.ledger.replicas.values()
            if replica.state == "unloading"
        }
        best = None
        for fake in self._fleet.values():
            for replica in fake.state.replicas:
                if (
                    replica.model == model
                    and replica.state == "loaded"
                    and replica.order_id not in unloading
                    and replica.running < limit
                    and (not adapter or adapter in replica.adapters)
                    and (best is None or replica.running < best[1].running)
                ):
                    best = (fake, replica)
        return best

    def _serve(
        self,
        now: float,
        key: demand.DemandKey,
        request: _Request,
        fake: _Fake,
        replica: messages.ReplicaState,
    ) -> None:
        self.result.waits_s.append(now - request.at)
        since = fake.idle_from.pop(replica.order_id, None)
        if since is not None:
            self.result.idle_s += now - since
        replica.running += 1
        self._running[key] += 1
        self._announce(fake, now)
        self._planner.keep_alive.update(self._active(), now)
        self._at(
            now + request.event["service_s"],
            "served",
            (fake, fake.state.incarnation, replica, request),
        )

    def _announce(self, fake: _Fake, now: float) -> None:
        if not fake.alive:
            return
        fake.state.sequence += 1
        observation = self._planner.apply_announcement(fake.state, now)
        self._planner.settle(observation.settled, now)

    def _needs(self) -> dict[demand.DemandKey, demand.Need]:
        needs: dict[demand.DemandKey, demand.Need] = {}
        for key, requests in self._waiting.items():
            if requests:
                first = min(requests, key=lambda item: item.deadline)
                needs[key] = demand.Need(
                    waiting=len(requests),
                    earliest_deadline=first.deadline,
                    team=first.event["team"],
                )
        for key, count in self._running.items():
            if count:
                needs.setdefault(key, demand.Need()).running = count
        return needs

    def _plan(self, now: float) -> None:
        plan = self._planner.plan(
            view=self.view,
            targets=[f.state for f in self._fleet.values() if f.alive],
            needs=self._needs(),
            now=now,
        )
        for change in plan.changes:
            if change.action == "load":
                self._start_load(change, now)
            elif change.action == "unload":
                self._at(now + _UNLOAD_S, "unloaded", change)
            else:
                self._at(now + _ADAPTER_LOAD_S, "adapter", change)

    def _start_load(self, change: commands.ReplicaChange, now: float) -> None:
        self._loads += 1
        self._fleet[change.target].state.replicas.append(
            messages.ReplicaState(
                model=change.model,
                version=change.model_version,
                state="loading",
                order_id=change.decision_id,
            )
        )
        version = self.view.models[change.model].version()
        nominal = version.load_s if version else 0.0
        contention = max(1.0, self._loads / _FULL_SPEED_LOADS)
        self._at(now + nominal * self._factor * contention, "loaded", change)
