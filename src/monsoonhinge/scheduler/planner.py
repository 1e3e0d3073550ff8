"""Planning steps, which turn demand and announcements into decisions."""

from collections.abc import Callable, Iterable
import dataclasses

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import adapters as adapter_planning
from monsoonhinge.scheduler import demand as gateway_demand
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import ledger as replica_ledger
from monsoonhinge.scheduler import placement
from monsoonhinge.scheduler import readiness
from monsoonhinge.scheduler import residency
from monsoonhinge.scheduler import weightstore

Needs = dict[gateway_demand.DemandKey, gateway_demand.Need]

# Bounds the duration of a planning step; other loads are placed in later steps.
_MAX_PLACEMENTS_PER_STEP = 64

# A target that failed to load a model is excluded for that model this long.
_FAILED_TARGET_BACKOFF_S = 5.0


@dataclasses.dataclass(slots=True)
class Plan:
    """Result of a planning step.

    Attributes:
        changes: Decisions to commit; they are already applied to the ledger.
        estimates: When waiting requests can be served.
    """

    changes: list[commands.ReplicaChange] = dataclasses.field(
        default_factory=list
    )
    estimates: dict[gateway_demand.DemandKey, readiness.Estimate] = (
        dataclasses.field(default_factory=dict)
    )


class Planner:
    """Decides which replicas to load and unload.

    Attributes:
        ledger: Decided replicas.
        store: Limits of the weight store.
        keep_alive: Keep-alive policy.
    """

    def __init__(
        self,
        *,
        ledger: replica_ledger.Ledger,
        store: weightstore.WeightStore,
        keep_alive: keepalive.KeepAlivePolicy,
        new_id: Callable[[], str],
    ) -> None:
        self.ledger = ledger
        self.store = store
        self.keep_alive = keep_alive
        self._new_id = new_id
        self._view = config_view.View()
        self._prewarmed: dict[str, float] = {}
        self._excluded: dict[tuple[str, str], float] = {}

    def apply_announcement(
        self, state: messages.TargetState, now: float
    ) -> replica_ledger.Observation:
        """Processes an announcement; the caller commits what it settles."""
        expired_replicas = [
            replica
            for replica in self.ledger.on_target(state.target)
            if replica.expired
        ]
        observation = self.ledger.apply_announcement(state, now)
        for replica in expired_replicas:
            if replica.state == "loading" and not replica.expired:
                self._resume(replica, now)
        for replica in observation.loaded:
            self.store.record_finish(replica.replica_id, loaded=True, now=now)
        return observation

    def _resume(self, replica: replica_ledger.Replica, now: float) -> None:
        """Counts a load in progress again after its target has returned."""
        if replica.replica_id not in self.store.active_loads:
            change = replica.change
            model = self._view.models.get(change.model)
            version = model.version(change.model_version) if model else None
            load_s = version.load_s if version else 0.0
            self.store.restore(replica.replica_id, nominal_s=load_s, now=now)

    def settle(
        self, changes: Iterable[commands.ReplicaChange], now: float
    ) -> None:
        """Applies committed changes of the action ``settled``."""
        for change in changes:
            replica = self.ledger.replicas.get(change.decision_id)
            if replica is not None and replica.loaded_at is None:
                self._excluded[change.model, change.target] = (
                    now + _FAILED_TARGET_BACKOFF_S
                )
            self.ledger.apply(change, now)
            self.store.record_finish(change.decision_id, loaded=False, now=now)

    def expire(self, target: str, now: float) -> None:
        """Expires the replicas and loads of a target."""
        self.ledger.expire(target)
        for replica in self.ledger.on_target(target):
            self.store.record_finish(replica.replica_id, loaded=False, now=now)
        for adapter_change in self.ledger.adapter_changes.values():
            if adapter_change.change.target == target:
                self.store.record_finish(
                    adapter_change.change.decision_id, loaded=False, now=now
                )

    def plan(
        self,
        *,
        view: config_view.View,
        targets: Iterable[messages.TargetState],
        needs: Needs,
        now: float,
    ) -> Plan:
        """Decides what to load and unload now.

        Args:
            view: Configuration in effect.
            targets: Live engines that accept new work.
            needs: Demand per model and adapter.
            now: Current time in seconds.
        """
        self._view = view
        self._excluded = {
            key: until for key, until in self._excluded.items() if until > now
        }
        engines = {state.target: state for state in targets}
        self.keep_alive.update({model for model, _ in needs}, now)
        step = _PlanningStep(self, engines, needs, now)
        step.unload_idle()
        step.start_loads()
        step.plan_adapters()
        return step.result


class _PlanningStep:
    """State of a planning step."""

    def __init__(
        self,
        planner: Planner,
        engines: dict[str, messages.TargetState],
        needs: Needs,
        now: float,
    ) -> None:
        self.result = Plan()
        self._loads_awaiting_memory = 0
        self._planner = planner
        self._ledger = planner.ledger
        self._store = planner.store
        self._view = planner._view
        self._engines = engines
        self._needs = needs
        self._now = now
        self._keys: dict[str, list[gateway_demand.DemandKey]] = {}
        for key in needs:
            self._keys.setdefault(key[0], []).append(key)
        self._residency = residency.Residency(
            ledger=planner.ledger,
            store=planner.store,
            keep_alive=planner.keep_alive,
            view=planner._view,
            engines=engines,
            active={model for model, _ in needs},
            now=now,
        )
        self._placer = placement.Placer(
            ledger=self._ledger,
            targets=engines.values(),
            load_s=self._residency.load_s,
            eviction_cost=self._residency.eviction_cost,
        )

    def unload_idle(self) -> None:
        """Unloads outdated replicas and those past their keep time."""
        for replica in list(self._ledger.replicas.values()):
            if not self._residency.is_idle(replica):
                continue
            change = replica.change
            model = self._view.models.get(change.model)
            if (
                model is None
                or change.model_version != model.current
                or self._residency.may_unload(replica, model)
            ):
                self._unload(replica)

    def start_loads(self) -> None:
        """Starts loads by priority within the limits of the weight store."""
        requests = self._missing_loads()
        ordered = self._store.prioritize(requests)
        ready_at = self._store.ready_times(ordered, self._now)
        for index, (load, ready) in enumerate(
            zip(ordered, ready_at, strict=True)
        ):
            if index < _MAX_PLACEMENTS_PER_STEP:
                self._place(load, ready)
            else:
                self._set_estimate(load.model, readiness.Estimate(ready))
        self._estimate_loading()
        prewarmed = self._planner._prewarmed
        for name in self._residency.prewarm_candidates(prewarmed):
            model = self._view.models[name]
            chosen = self._placer.choose(self._request(model), evict=False)
            if chosen and chosen.has_memory and self._may_start(chosen):
                self._load(model, chosen)
                idle_since = self._planner.keep_alive.idle_since(name)
                prewarmed[name] = idle_since or 0.0

    def plan_adapters(self) -> None:
        """Plans loads of requested adapters onto loaded replicas."""
        adapter_planner = adapter_planning.AdapterPlanner(
            ledger=self._ledger,
            store=self._store,
            view=self._view,
            new_id=self._planner._new_id,
        )
        for key, need in sorted(
            self._needs.items(),
            key=lambda item: (item[1].earliest_deadline, item[0]),
        ):
            model, adapter = key
            if not adapter or not need.waiting:
                continue
            if model not in self._view.models:
                continue
            live = [
                replica
                for replica in self._residency.live(model)
                if replica.state == "loaded"
            ]
            if not live:
                continue
            estimate = adapter_planner.ensure_loaded(
                adapter, live, self._needs, self._now
            )
            if estimate is not None:
                self.result.estimates[key] = estimate
        self.result.changes += adapter_planner.changes

    def _missing_loads(self) -> list[weightstore.LoadRequest]:
        result = []
        for name, model in self._view.models.items():
            needs = [self._needs[key] for key in self._keys.get(name, [])]
            if not needs and not model.min_replicas:
                continue
            waiting = sum(need.waiting for need in needs)
            live = self._residency.live(name)
            running = max(
                sum(need.running for need in needs),
                sum(replica.running + replica.waiting for replica in live),
            )
            loaded = sum(replica.state == "loaded" for replica in live)
            missing = placement.desired_replicas(
                model, waiting=waiting, running=running, loaded=loaded
            ) - len(live)
            urgent = min(
                needs, key=_earliest_deadline, default=gateway_demand.Need()
            )
            result += [
                weightstore.LoadRequest(
                    model=name,
                    adapter="",
                    team=urgent.team,
                    deadline=urgent.earliest_deadline,
                    nominal_s=self._residency.nominal_load_s(name),
                )
            ] * max(0, missing)
        return result

    def _place(self, load: weightstore.LoadRequest, ready_at: float) -> None:
        model = self._view.models[load.model]
        request = self._request(model)
        if self._placer.is_empty:
            # Engines may not have announced themselves yet after a start.
            self._set_estimate(load.model, readiness.Estimate(ready_at))
            return
        if not self._placer.fits_anywhere(request):
            never = readiness.Estimate.impossible("no target is large enough")
            self._set_estimate(load.model, never)
            return
        chosen = self._placer.choose(request)
        if chosen is None:
            memory_free_at = ready_at + self._residency.eviction_delay_s()
            self._set_estimate(load.model, readiness.Estimate(memory_free_at))
            return
        self._set_estimate(
            load.model,
            readiness.Estimate(
                ready_at
                if chosen.tier == "remote"
                else self._now + chosen.load_s
            ),
        )
        if chosen.has_memory:
            if self._may_start(chosen):
                self._load(model, chosen)
                self._store.charge_team(load.team)
                return
        elif (
            chosen.tier != "remote"
            or self._store.free_slots() > self._loads_awaiting_memory
        ):
            # Evict only for loads that can start as soon as memory is free.
            for replica in chosen.evictions:
                self._unload(replica)
        self._loads_awaiting_memory += 1
        self._placer.reserve_pending(chosen.target, request.reserved_bytes)

    def _may_start(self, chosen: placement.Placement) -> bool:
        return chosen.tier != "remote" or self._store.may_load(self._now)

    def _load(self, model: schema.Model, chosen: placement.Placement) -> None:
        request = self._request(model)
        change = commands.ReplicaChange(
            action="load",
            decision_id=self._planner._new_id(),
            target=chosen.target,
            incarnation=self._engines[chosen.target].incarnation,
            model=model.name,
            model_version=model.current,
            reserved_bytes=request.reserved_bytes,
        )
        self._store.record_start(
            change.decision_id,
            nominal_s=self._residency.nominal_load_s(model.name),
            tier=chosen.tier,
            now=self._now,
        )
        self._decide(change)

    def _unload(self, replica: replica_ledger.Replica) -> None:
        if replica.state != "unloading":
            self._decide(dataclasses.replace(replica.change, action="unload"))

    def _decide(self, change: commands.ReplicaChange) -> None:
        self._ledger.apply(change, self._now)
        self._placer.refresh(change.target)
        self.result.changes.append(change)

    def _request(self, model: schema.Model) -> placement.ReplicaRequest:
        zones = frozenset(
            self._engines[replica.change.target].availability_zone
            for replica in self._residency.live(model.name)
        )
        return placement.ReplicaRequest(
            model=model.name,
            version=model.current,
            reserved_bytes=placement.footprint_bytes(model, model.current),
            zones=zones,
            excluded=frozenset(
                target
                for (name, target), until in self._planner._excluded.items()
                if name == model.name and until > self._now
            ),
        )

    def _estimate_loading(self) -> None:
        for model in {model for model, _ in self._needs}:
            if model not in self._view.models:
                unknown = readiness.Estimate.impossible("unknown model")
                self._set_estimate(model, unknown)
                continue
            live = self._residency.live(model)
            if any(replica.state == "loaded" for replica in live):
                continue
            completions = [
                readiness.expected_completion(
                    started_at=replica.decided_at,
                    load_s=self._residency.load_s(model, "remote"),
                    now=self._now,
                )
                for replica in live
            ]
            if completions:
                self._set_estimate(model, readiness.Estimate(min(completions)))

    def _set_estimate(self, model: str, estimate: readiness.Estimate) -> None:
        for key in self._keys.get(model, []):
            if self._needs[key].waiting:
                self.result.estimates[key] = estimate


def _earliest_deadline(need: gateway_demand.Need) -> float:
    return need.earliest_deadline
