"""One planning step: from demand and announcements to decisions."""

from collections.abc import Callable, Iterable
import dataclasses

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import adapters as adapter_moves
from monsoonhinge.scheduler import demand as demand_book
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import ledger as replica_ledger
from monsoonhinge.scheduler import placement
from monsoonhinge.scheduler import residency
from monsoonhinge.scheduler import verdicts
from monsoonhinge.scheduler import weightstore

Needs = dict[demand_book.Key, demand_book.Need]


# Bounds the time of a planning step; the rest follows in the next ones.
_PLACED_PER_STEP = 64

# A target that failed to load a model is left out for this model meanwhile.
_RETRY_S = 5.0


@dataclasses.dataclass(slots=True)
class Plan:
    """Result of a planning step.

    Attributes:
        changes: Decisions, already applied to the ledger, to be committed.
        expectations: When waiting requests can be served.
    """

    changes: list[commands.ReplicaChange] = dataclasses.field(
        default_factory=list
    )
    expectations: dict[demand_book.Key, verdicts.Expectation] = (
        dataclasses.field(default_factory=dict)
    )


class Planner:
    """Decides loads and unloads.

    Attributes:
        ledger: Decided replicas.
        store: Weight store limits.
        retention: Keep-alive policy.
    """

    def __init__(
        self,
        *,
        ledger: replica_ledger.Ledger,
        store: weightstore.WeightStore,
        retention: keepalive.Retention,
        new_id: Callable[[], str],
    ) -> None:
        self.ledger = ledger
        self.store = store
        self.retention = retention
        self._new_id = new_id
        self._view = config_view.View()
        self._warmed: dict[str, float] = {}
        self._failed: dict[tuple[str, str], float] = {}

    def observe(
        self, state: messages.TargetState, now: float
    ) -> replica_ledger.Observation:
        """Takes an announcement; the caller commits what it settles."""
        returned = [
            replica
            for replica in self.ledger.on_target(state.target)
            if replica.expired
        ]
        observation = self.ledger.observe(state, now)
        for replica in returned:
            if replica.state == "loading" and not replica.expired:
                self._resume(replica, now)
        for replica in observation.loaded:
            self.store.finish(replica.replica_id, loaded=True, now=now)
        return observation

    def _resume(self, replica: replica_ledger.Replica, now: float) -> None:
        """Counts a load again whose target was silent for a while."""
        if replica.replica_id not in self.store.in_flight:
            model = self._view.models.get(replica.change.model)
            version = model.version() if model else None
            self.store.restore(
                replica.replica_id,
                nominal_s=version.load_s if version else 0.0,
                now=now,
            )

    def settle(
        self, changes: Iterable[commands.ReplicaChange], now: float
    ) -> None:
        """Applies committed settlements."""
        for change in changes:
            replica = self.ledger.replicas.get(change.decision_id)
            if replica is not None and replica.loaded_at is None:
                self._failed[change.model, change.target] = now + _RETRY_S
            self.ledger.apply(change, now)
            self.store.finish(change.decision_id, loaded=False, now=now)

    def expire(self, target: str, now: float) -> None:
        """Stops counting on a target that no longer announces itself."""
        self.ledger.expire(target)
        for replica in self.ledger.on_target(target):
            self.store.finish(replica.replica_id, loaded=False, now=now)
        for move in self.ledger.moves.values():
            if move.change.target == target:
                self.store.finish(
                    move.change.decision_id, loaded=False, now=now
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
            targets: Live engines that may get orders and new work.
            needs: Demand per model and adapter.
            now: Current time in seconds.
        """
        self._view = view
        self._failed = {
            key: until for key, until in self._failed.items() if until > now
        }
        engines = {state.target: state for state in targets}
        self.retention.update({model for model, _ in needs}, now)
        step = _Step(self, engines, needs, now)
        step.unload_idle()
        step.load_wanted()
        step.move_adapters()
        return step.result


class _Step:
    """State of one planning step."""

    def __init__(
        self,
        planner: Planner,
        engines: dict[str, messages.TargetState],
        needs: Needs,
        now: float,
    ) -> None:
        self.result = Plan()
        self._awaiting_room = 0
        self._planner = planner
        self._ledger = planner.ledger
        self._store = planner.store
        self._view = planner._view
        self._engines = engines
        self._needs = needs
        self._now = now
        self._keys: dict[str, list[demand_book.Key]] = {}
        for key in needs:
            self._keys.setdefault(key[0], []).append(key)
        self._residency = residency.Residency(
            ledger=planner.ledger,
            store=planner.store,
            retention=planner.retention,
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
        """Unloads surplus replicas and those kept long enough."""
        for replica in list(self._ledger.replicas.values()):
            if not self._residency.is_idle(replica):
                continue
            change = replica.change
            model = self._view.models.get(change.model)
            if (
                model is None
                or change.model_version != model.current
                or self._residency.kept_long_enough(replica, model)
            ):
                self._unload(replica)

    def load_wanted(self) -> None:
        """Starts loads in order while the weight store allows."""
        wanted = self._wanted()
        ordered = self._store.order(wanted)
        ready_at = self._store.ready_times(ordered, self._now)
        for number, (item, ready) in enumerate(
            zip(ordered, ready_at, strict=True)
        ):
            if number < _PLACED_PER_STEP:
                self._place(item, ready)
            else:
                self._expect(item.model, verdicts.Expectation(ready))
        self._expect_loading()
        for name in self._residency.predicted(self._planner._warmed):
            model = self._view.models[name]
            chosen = self._placer.choose(self._request(model), evict=False)
            if chosen is not None and chosen.ready and self._may(chosen):
                self._load(model, chosen)
                idle_since = self._planner.retention.idle_since(name)
                self._planner._warmed[name] = idle_since or 0.0

    def move_adapters(self) -> None:
        """Loads demanded adapters onto loaded replicas."""
        mover = adapter_moves.AdapterMover(
            ledger=self._ledger,
            store=self._store,
            view=self._view,
            new_id=self._planner._new_id,
        )
        for key, need in sorted(
            self._needs.items(), key=lambda item: (item[1].deadline, item[0])
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
            expected = mover.ensure(adapter, live, self._needs, self._now)
            if expected is not None:
                self.result.expectations[key] = expected
        self.result.changes += mover.changes

    def _wanted(self) -> list[weightstore.Wanted]:
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
            missing = placement.replicas_needed(
                model, waiting=waiting, running=running, loaded=loaded
            ) - len(live)
            first = min(needs, key=_deadline, default=demand_book.Need())
            result += [
                weightstore.Wanted(
                    model=name,
                    adapter="",
                    team=first.team,
                    deadline=first.deadline,
                    nominal_s=self._residency.nominal_load_s(name),
                )
            ] * max(0, missing)
        return result

    def _place(self, item: weightstore.Wanted, ready_at: float) -> None:
        model = self._view.models[item.model]
        request = self._request(model)
        if self._placer.is_empty:
            # After a start an engine may yet announce itself in time.
            self._expect(item.model, verdicts.Expectation(ready_at))
            return
        if not self._placer.fits_anywhere(request):
            never = verdicts.Expectation.never("no target is large enough")
            self._expect(item.model, never)
            return
        chosen = self._placer.choose(request)
        if chosen is None:
            room_at = ready_at + self._residency.room_after()
            self._expect(item.model, verdicts.Expectation(room_at))
            return
        self._expect(
            item.model,
            verdicts.Expectation(
                ready_at
                if chosen.tier == "remote"
                else self._now + chosen.load_s
            ),
        )
        if chosen.ready:
            if self._may(chosen):
                self._load(model, chosen)
                self._store.charge(item.team)
                return
        elif (
            chosen.tier != "remote"
            or self._store.free_slots() > self._awaiting_room
        ):
            # Room is made only for loads that can follow at once.
            for replica in chosen.evict:
                self._unload(replica)
        self._awaiting_room += 1
        self._placer.promise(chosen.target, request.reserved_bytes)

    def _may(self, chosen: placement.Placement) -> bool:
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
        self._store.start(
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

    def _request(self, model: schema.Model) -> placement.Request:
        zones = frozenset(
            self._engines[replica.change.target].availability_zone
            for replica in self._residency.live(model.name)
        )
        return placement.Request(
            model=model.name,
            version=model.current,
            reserved_bytes=footprint(model, model.current),
            zones=zones,
            excluded=frozenset(
                target
                for (name, target), until in self._planner._failed.items()
                if name == model.name and until > self._now
            ),
        )

    def _expect_loading(self) -> None:
        for model in {model for model, _ in self._needs}:
            if model not in self._view.models:
                self._expect(model, verdicts.Expectation.never("unknown model"))
                continue
            live = self._residency.live(model)
            if any(replica.state == "loaded" for replica in live):
                continue
            expected = [
                verdicts.loading_until(
                    started_at=replica.decided_at,
                    load_s=self._residency.load_s(model, "remote"),
                    now=self._now,
                )
                for replica in live
            ]
            if expected:
                self._expect(model, verdicts.Expectation(min(expected)))

    def _expect(self, model: str, expected: verdicts.Expectation) -> None:
        for key in self._keys.get(model, []):
            if self._needs[key].waiting:
                self.result.expectations[key] = expected


def footprint(model: schema.Model, version: str) -> int:
    """Returns bytes reserved for a replica: weights, KV cache, adapters."""
    found = model.version(version)
    weights = found.weights_bytes if found else 0
    return weights + model.kv_bytes_per_replica + model.adapter_slot_bytes


def _deadline(need: demand_book.Need) -> float:
    return need.deadline
