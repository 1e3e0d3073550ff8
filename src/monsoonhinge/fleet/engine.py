"""What the active member believes of one engine.

The belief follows orders, since announcements and reports lag behind them.
Memory is counted for everything that may be held, so that no order can ever
ask for more than an engine has.
"""

import asyncio
from collections.abc import Mapping
import dataclasses
from typing import Any

from monsoonhinge.config import ingress
from monsoonhinge.fleet import dialect
from monsoonhinge.protocol import fleet

LOADED = "loaded"
LOADING = "loading"
UNLOADING = "unloading"

# Announcements may be this old when they arrive.
_ANNOUNCEMENT_LAG_S = 5.0

# Reports may be this old; an adapter used since may be on its way.
_REPORT_LAG_S = 1.0

# A model that this many announcements in a row do not list is gone.
_MISSES = 2


@dataclasses.dataclass(slots=True)
class Held:
    """A model that an engine holds or may hold.

    Attributes:
        state: ``loaded``, ``loading`` or ``unloading``.
        since: When it got into this state.
        ready_at: When a loading model is expected to serve.
        adapters: Adapters that are loaded or may be, with the time of their
            last use.
        used_at: When a request last ran or waited for it.
        misses: Announcements in a row that did not list it.
    """

    state: str
    since: float
    ready_at: float = 0.0
    adapters: dict[str, float] = dataclasses.field(default_factory=dict)
    used_at: float = 0.0
    misses: int = 0


class Engine:
    """One incarnation of an engine.

    Attributes:
        registration: What it last announced.
        limits: What it can hold.
        held: Models by name.
        accepted: Orders that it has accepted; None until a report came.
        unreachable: Whether gateways cannot reach it; what it holds does not
            count then.
        swapping: Whether a load or unload of a model is under way.
        retry_at: No order is given before this time.
        running: Requests of all gateways by model.
        used_adapters: Adapters with running requests, as (model, adapter).
        unloaded_at: When models were last unloaded here.
        listed: Models in the latest announcement.
        changed: Set and replaced at each announcement.
    """

    def __init__(
        self,
        *,
        registration: fleet.Registration,
        limits: ingress.IngressEngine,
        now: float,
    ) -> None:
        self.registration = registration
        self.limits = limits
        self.held: dict[str, Held] = {}
        self.accepted: int | None = None
        self.swapping = False
        self.unreachable = False
        self.retry_at = 0.0
        self.running: dict[str, int] = {}
        self.used_adapters: set[tuple[str, str]] = set()
        self.unloaded_at: dict[str, float] = {}
        self.in_memory = set(registration.in_memory)
        self.on_disk = set(registration.on_disk)
        self.listed = {model.name for model in registration.models}
        self.changed = asyncio.Event()
        self._sizes = {model.name: model for model in limits.models}
        for model in registration.models:
            self.held[model.name] = Held(
                state=LOADED,
                since=now,
                adapters=dict.fromkeys(model.adapters, now),
            )

    @property
    def target(self) -> str:
        """Id of the target."""
        return self.registration.target

    def dump(self, now: float) -> dict[str, Any]:
        """Returns the state for operators; times are seconds from ``now``."""
        return {
            "service": self.registration.service,
            "held": {
                name: {
                    "state": held.state,
                    "for_s": round(now - held.since, 3),
                    "ready_in_s": round(max(0.0, held.ready_at - now), 3),
                    "adapters": sorted(held.adapters),
                    "running": self.running.get(name, 0),
                }
                for name, held in self.held.items()
            },
            "on_disk": sorted(self.on_disk),
            "in_memory": sorted(self.in_memory),
            "known": self.accepted is not None,
            "swapping": self.swapping,
            "unreachable": self.unreachable,
            "retry_in_s": round(max(0.0, self.retry_at - now), 3),
        }

    def configure(self, limits: ingress.IngressEngine) -> None:
        """Takes the limits of a new configuration."""
        if limits is not self.limits:
            self.limits = limits
            self._sizes = {model.name: model for model in limits.models}

    def announced(self, registration: fleet.Registration, now: float) -> None:
        """Takes a later announcement of the same incarnation."""
        self.registration = registration
        # Copies yield to newer ones, so that the latest list counts.
        self.in_memory = set(registration.in_memory)
        self.on_disk = set(registration.on_disk)
        listed = {model.name: model for model in registration.models}
        self.listed = set(listed)
        self.changed.set()
        self.changed = asyncio.Event()
        for name, model in listed.items():
            if name in self.held:
                self.held[name].misses = 0
                continue
            unloaded_at = self.unloaded_at.get(name, float("-inf"))
            if now - unloaded_at > _ANNOUNCEMENT_LAG_S:
                self.held[name] = Held(
                    state=LOADED,
                    since=now,
                    adapters=dict.fromkeys(model.adapters, now),
                )
        for name, held in list(self.held.items()):
            if (
                name in listed
                or held.state != LOADED
                or now - held.since < _ANNOUNCEMENT_LAG_S
            ):
                continue
            held.misses += 1
            if held.misses >= _MISSES:
                del self.held[name]

    def reported(self, report: dialect.Report, now: float) -> None:
        """Takes a report that was asked for while no order was under way."""
        self.accepted = report.accepted
        self.in_memory = set(report.in_memory)
        self.on_disk = set(report.on_disk)
        for name in list(self.held):
            if name not in report.models and not report.busy:
                del self.held[name]
        for name, adapters in report.models.items():
            held = self.held.setdefault(name, Held(state=LOADED, since=now))
            if held.state == LOADING:
                held.since = now
            held.state = LOADED
            for adapter, used_at in list(held.adapters.items()):
                if adapter not in adapters and now - used_at > _REPORT_LAG_S:
                    del held.adapters[adapter]
            for adapter in adapters:
                held.adapters.setdefault(adapter, now)
        for name, adapter in report.pending:
            if name in self.held:
                self.held[name].adapters.setdefault(adapter, now)

    def begin_load(self, model: str, *, ready_at: float, now: float) -> None:
        """Notes that a load was ordered or may have been."""
        self.held[model] = Held(
            state=LOADING, since=now, ready_at=ready_at, used_at=now
        )

    def finish_load(self, model: str, now: float) -> None:
        """Notes that a loading model serves."""
        held = self.held.get(model)
        if held is not None and held.state == LOADING:
            held.state, held.since, held.misses = LOADED, now, 0
        self.in_memory.add(model)
        self.on_disk.add(model)

    def begin_unload(self, model: str, now: float) -> None:
        """Notes that an unload is being ordered."""
        held = self.held.get(model)
        if held is not None:
            held.state, held.since = UNLOADING, now

    def finish_unload(self, model: str, now: float) -> None:
        """Notes that an unload was accepted."""
        self.held.pop(model, None)
        self.unloaded_at[model] = now

    def load_s(self, model: str) -> float:
        """Returns how long a load takes at full speed, in seconds."""
        spec = self._sizes[model]
        if model in self.in_memory:
            return spec.warm_load_s
        if model in self.on_disk:
            return spec.disk_load_s
        return spec.load_s

    def from_store(self, model: str) -> bool:
        """Returns whether a load of a model reads from the weight store."""
        return model not in self.in_memory and model not in self.on_disk

    def knows(self, model: str) -> bool:
        """Returns whether the configuration has a model for this engine."""
        return model in self._sizes

    def size_bytes(self, model: str) -> int:
        """Returns the memory of a model without adapters."""
        spec = self._sizes.get(model)
        return self.limits.weights_bytes if spec is None else spec.weights_bytes

    def adapter_bytes(self, model: str) -> int:
        """Returns the memory of one adapter of a model."""
        spec = self._sizes.get(model)
        return 0 if spec is None else spec.adapter_bytes

    def free_bytes(self) -> int:
        """Returns the memory that certainly is free."""
        used = sum(
            self.size_bytes(name)
            + len(held.adapters) * self.adapter_bytes(name)
            for name, held in self.held.items()
        )
        return self.limits.weights_bytes - used

    def adapters_held(self) -> int:
        """Returns how many adapters are loaded or may be."""
        return sum(len(held.adapters) for held in self.held.values())

    def serves(self, model: str, now: float) -> bool:
        """Returns whether a model is loaded or about to be."""
        held = self.held.get(model)
        return (
            held is not None
            and held.state in (LOADED, LOADING)
            and not self.unreachable
        )

    def use(self, running: Mapping[tuple[str, str], int], now: float) -> None:
        """Takes the requests that run on each model and adapter."""
        self.running = {}
        self.used_adapters = set()
        for (name, adapter), count in running.items():
            if not count:
                continue
            self.running[name] = self.running.get(name, 0) + count
            held = self.held.get(name)
            if held is None:
                continue
            held.used_at = now
            if adapter:
                self.used_adapters.add((name, adapter))
                if adapter in held.adapters:
                    held.adapters[adapter] = now

    def placement(self, now: float) -> fleet.Placement:
        """Returns what gateways are told."""
        return fleet.Placement(
            target=self.target,
            incarnation=self.registration.incarnation,
            running=sum(self.running.values()),
            models=[
                fleet.PlacedModel(
                    name=name,
                    state=held.state,
                    ready_in_ms=max(0, round((held.ready_at - now) * 1000))
                    if held.state == LOADING
                    else 0,
                    adapters=sorted(held.adapters),
                )
                for name, held in self.held.items()
            ],
        )
