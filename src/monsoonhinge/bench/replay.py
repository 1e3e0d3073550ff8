"""Replays a trace through the scheduler's planner in simulated time."""

import collections
import dataclasses
import heapq
import itertools
import math
from typing import Any

from monsoonhinge.bench import baselines
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
# More concurrent loads than this slow each other down.
_FULL_SPEED_LOADS = 4
# Time until the scheduler removes a lost target.
_TARGET_EXPIRY_S = 3.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """Measurements of a replay.

    Attributes:
        waits_s: Time that each admitted request waited for a replica; a
            request that missed its deadline counts with its whole timeout.
        idle_s: Accelerator seconds of loaded replicas without a request.
        served_tokens: Tokens of served requests, by team.
        ideal_tokens: Tokens that an ideal bucket would have admitted, by team.
        admitted: Number of requests that the token policy admitted.
        within_rate: Number that an ideal bucket would have admitted.
        wrongly_refused: Number of these that the token policy refused.
        expired: Number of requests that missed their deadline.
    """

    waits_s: list[float] = dataclasses.field(default_factory=list)
    idle_s: float = 0.0
    served_tokens: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    ideal_tokens: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    admitted: int = 0
    within_rate: int = 0
    wrongly_refused: int = 0
    expired: int = 0

    def wait_quantile_s(self, quantile: float) -> float:
        """Returns a quantile of the waiting times, in seconds."""
        ordered = sorted(self.waits_s)
        index = math.ceil(quantile * len(ordered)) - 1
        return ordered[max(0, index)] if ordered else 0.0

    def worst_served_share(self) -> float:
        """Returns the lowest ratio of served to ideal tokens of any team."""
        return min(
            (
                min(1.0, self.served_tokens[team] / ideal)
                for team, ideal in self.ideal_tokens.items()
            ),
            default=1.0,
        )


@dataclasses.dataclass(slots=True)
class _Request:
    arrived_at: float
    event: dict[str, Any]
    deadline: float


@dataclasses.dataclass(slots=True)
class _FakeTarget:
    """A simulated target.

    Attributes:
        state: State that it announces.
        alive: Whether it is reachable.
        idle_since: Time since when each idle replica is idle, by order id.
    """

    state: messages.TargetState
    alive: bool = True
    idle_since: dict[str, float] = dataclasses.field(default_factory=dict)


class Replay:
    """Replays one trace with the policies of one candidate.

    Each event of the trace and of the simulation is handled by the method
    ``_on_`` with the event's kind.

    Attributes:
        view: Configuration of the trace.
        outcome: Measurements so far.
    """

    def __init__(
        self, trace: traces.Trace, candidate: baselines.Candidate
    ) -> None:
        objects = [schema.parse(item) for item in trace.header["objects"]]
        self.view = config_view.View(
            version=1,
            objects={schema.object_id(item): item for item in objects},
        )
        self.outcome = Outcome()
        self._duration_s = trace.header["duration_s"]
        gateways = traces.DEPLOYMENTS[trace.header["deployment"]].gateways
        self._token_policy = candidate.make_token_policy(
            self.view.teams, gateways
        )
        self._ideal_policy = baselines.IdealTokenPolicy(self.view.teams)
        ids = itertools.count()
        self._planner = planning.Planner(
            ledger=replica_ledger.Ledger(footprint_bytes=lambda *_: 0),
            store=weightstore.WeightStore(self.view.store, now=0.0),
            keep_alive=candidate.make_keep_alive(self.view.policy),
            new_id=lambda: f"d{next(ids)}",
        )
        self._planner.store.configure(
            self.view.store,
            {name: team.weight for name, team in self.view.teams.items()},
        )
        self._targets = {
            item["target"]: _FakeTarget(
                messages.TargetState(
                    incarnation=1, kind="engine", checks_fencing=True, **item
                )
            )
            for item in trace.header["targets"]
        }
        # Heap of time, insertion number, kind and value of future events.
        self._events: list[tuple[float, int, str, Any]] = []
        self._event_numbers = itertools.count()
        self._waiting_requests: dict[demand.DemandKey, list[_Request]] = {}
        self._running_requests: collections.Counter[demand.DemandKey] = (
            collections.Counter()
        )
        self._store_slowdown = 1.0
        self._running_loads = 0
        self._withdrawn_teams: set[str] = set()
        for event in trace.events:
            self._schedule(event["t"], event["kind"], event)

    def run(self) -> Outcome:
        """Runs the trace to its end and returns the measurements."""
        for target in self._targets.values():
            self._announce(target, 0.0)
        self._schedule(0.0, "tick", None)
        while self._events and self._events[0][0] <= self._duration_s:
            now, _, kind, value = heapq.heappop(self._events)
            getattr(self, f"_on_{kind}")(now, value)
        for target in self._targets.values():
            for since in target.idle_since.values():
                self.outcome.idle_s += self._duration_s - since
        return self.outcome

    def _schedule(self, at: float, kind: str, value: Any) -> None:
        heapq.heappush(
            self._events, (at, next(self._event_numbers), kind, value)
        )

    def _on_tick(self, now: float, value: None) -> None:
        self._schedule(now + _TICK_S, "tick", None)
        for requests in self._waiting_requests.values():
            for request in [r for r in requests if r.deadline <= now]:
                requests.remove(request)
                self.outcome.expired += 1
                self.outcome.waits_s.append(
                    request.deadline - request.arrived_at
                )
        self._plan(now)

    def _on_request(self, now: float, event: dict[str, Any]) -> None:
        team, tokens = event["team"], event["tokens"]
        if team in self._withdrawn_teams:
            return
        gateway = event["gateway"]
        within_rate = self._ideal_policy.take(gateway, team, tokens, now)
        admitted = self._token_policy.take(gateway, team, tokens, now)
        if within_rate:
            self.outcome.ideal_tokens[team] += tokens
            self.outcome.within_rate += 1
            self.outcome.wrongly_refused += not admitted
        if admitted:
            self.outcome.admitted += 1
            key = (event["model"], event["adapter"])
            request = _Request(now, event, now + event["timeout_s"])
            self._waiting_requests.setdefault(key, []).append(request)
            self._dispatch(now)
            if self._waiting_requests[key]:
                self._plan(now)

    def _on_store(self, now: float, event: dict[str, Any]) -> None:
        self._store_slowdown = event["factor"]

    def _on_withdrawn(self, now: float, event: dict[str, Any]) -> None:
        self._withdrawn_teams.add(event["team"])

    def _on_lost(self, now: float, event: dict[str, Any]) -> None:
        target = self._targets[event["target"]]
        target.alive = False
        for since in target.idle_since.values():
            self.outcome.idle_s += now - since
        target.idle_since = {}
        target.state.replicas = []
        self._schedule(now + _TARGET_EXPIRY_S, "expired", event["target"])

    def _on_expired(self, now: float, target: str) -> None:
        if not self._targets[target].alive:
            self._planner.expire(target, now)
            self._plan(now)

    def _on_back(self, now: float, event: dict[str, Any]) -> None:
        target = self._targets[event["target"]]
        target.alive = True
        target.state.incarnation += 1
        self._announce(target, now)

    def _on_loaded(self, now: float, change: commands.ReplicaChange) -> None:
        self._running_loads -= 1
        target = self._targets[change.target]
        replica = self._find_replica(change)
        if replica is None:
            return
        replica.state = "loaded"
        target.idle_since[change.decision_id] = now
        self._announce(target, now)
        self._dispatch(now)
        self._plan(now)

    def _on_unloaded(self, now: float, change: commands.ReplicaChange) -> None:
        target = self._targets[change.target]
        replica = self._find_replica(change)
        if replica is not None:
            target.state.replicas.remove(replica)
            since = target.idle_since.pop(change.decision_id, now)
            self.outcome.idle_s += now - since
            self._announce(target, now)
            self._plan(now)

    def _on_adapter(self, now: float, change: commands.ReplicaChange) -> None:
        target = self._targets[change.target]
        order_id = change.decision_id.rpartition("/")[0]
        for replica in target.state.replicas:
            if replica.order_id != order_id:
                continue
            if change.action == "load_adapter":
                replica.adapters.append(change.adapter)
            elif change.adapter in replica.adapters:
                replica.adapters.remove(change.adapter)
        self._announce(target, now)
        self._dispatch(now)
        self._plan(now)

    def _on_served(self, now: float, value: tuple[Any, ...]) -> None:
        target, incarnation, replica, request = value
        event = request.event
        self._running_requests[event["model"], event["adapter"]] -= 1
        if target.alive and target.state.incarnation == incarnation:
            self.outcome.served_tokens[event["team"]] += event["tokens"]
            replica.running -= 1
            if not replica.running:
                target.idle_since[replica.order_id] = now
            self._announce(target, now)
        self._planner.keep_alive.update(self._active_models(), now)
        self._dispatch(now)

    def _find_replica(
        self, change: commands.ReplicaChange
    ) -> messages.ReplicaState | None:
        target = self._targets[change.target]
        for replica in target.state.replicas:
            if replica.order_id == change.decision_id:
                return replica
        return None

    def _active_models(self) -> set[str]:
        return {
            key[0] for key, waiting in self._waiting_requests.items() if waiting
        } | {key[0] for key, count in self._running_requests.items() if count}

    def _dispatch(self, now: float) -> None:
        for key, requests in self._waiting_requests.items():
            while requests:
                free = self._find_free_replica(*key)
                if free is None:
                    break
                self._serve(now, key, requests.pop(0), *free)

    def _find_free_replica(
        self, model: str, adapter: str
    ) -> tuple[_FakeTarget, messages.ReplicaState] | None:
        limit = self.view.models[model].max_concurrency
        unloading = {
            replica.replica_id
            for replica in self._planner.ledger.replicas.values()
            if replica.state == "unloading"
        }
        best = None
        for target in self._targets.values():
            for replica in target.state.replicas:
                if (
                    replica.model == model
                    and replica.state == "loaded"
                    and replica.order_id not in unloading
                    and replica.running < limit
                    and (not adapter or adapter in replica.adapters)
                    and (best is None or replica.running < best[1].running)
                ):
                    best = (target, replica)
        return best

    def _serve(
        self,
        now: float,
        key: demand.DemandKey,
        request: _Request,
        target: _FakeTarget,
        replica: messages.ReplicaState,
    ) -> None:
        self.outcome.waits_s.append(now - request.arrived_at)
        since = target.idle_since.pop(replica.order_id, None)
        if since is not None:
            self.outcome.idle_s += now - since
        replica.running += 1
        self._running_requests[key] += 1
        self._announce(target, now)
        self._planner.keep_alive.update(self._active_models(), now)
        self._schedule(
            now + request.event["service_s"],
            "served",
            (target, target.state.incarnation, replica, request),
        )

    def _announce(self, target: _FakeTarget, now: float) -> None:
        if not target.alive:
            return
        target.state.sequence += 1
        observation = self._planner.apply_announcement(target.state, now)
        self._planner.settle(observation.settled, now)

    def _aggregate_demand(self) -> dict[demand.DemandKey, demand.Need]:
        needs: dict[demand.DemandKey, demand.Need] = {}
        for key, requests in self._waiting_requests.items():
            if requests:
                first = min(requests, key=lambda item: item.deadline)
                needs[key] = demand.Need(
                    waiting=len(requests),
                    earliest_deadline=first.deadline,
                    team=first.event["team"],
                )
        for key, count in self._running_requests.items():
            if count:
                needs.setdefault(key, demand.Need()).running = count
        return needs

    def _plan(self, now: float) -> None:
        plan = self._planner.plan(
            view=self.view,
            targets=[t.state for t in self._targets.values() if t.alive],
            needs=self._aggregate_demand(),
            now=now,
        )
        for change in plan.changes:
            if change.action == "load":
                self._start_load(change, now)
            elif change.action == "unload":
                self._schedule(now + _UNLOAD_S, "unloaded", change)
            else:
                self._schedule(now + _ADAPTER_LOAD_S, "adapter", change)

    def _start_load(self, change: commands.ReplicaChange, now: float) -> None:
        self._running_loads += 1
        self._targets[change.target].state.replicas.append(
            messages.ReplicaState(
                model=change.model,
                version=change.model_version,
                state="loading",
                order_id=change.decision_id,
            )
        )
        version = self.view.models[change.model].version()
        nominal_s = version.load_s if version else 0.0
        contention = max(1.0, self._running_loads / _FULL_SPEED_LOADS)
        load_s = nominal_s * self._store_slowdown * contention
        self._schedule(now + load_s, "loaded", change)
