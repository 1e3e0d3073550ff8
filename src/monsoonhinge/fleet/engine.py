"""Estimated state of one engine, as the fleet lease holder sees it.

Orders update the estimate at once, because announcements and reports arrive
late. Memory is counted for everything that may be loaded, so that no order
requests more memory than the engine has.
"""

import asyncio
from collections.abc import Mapping
import dataclasses
import math
import statistics

from monsoonhinge.config import ingress
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import unsettled_orders
from monsoonhinge.protocol import fleet

LOADED = "loaded"
LOADING = "loading"
UNLOADING = "unloading"
# Loaded, but gateways send no new requests, so that it can be evicted soon.
RETIRING = "retiring"

# Delayed announcements can be this old when they arrive.
_MAX_ANNOUNCEMENT_AGE_S = 5.0

# A report can be this old, so it may not list an adapter that was loaded for a
# more recent request.
_MAX_REPORT_AGE_S = 1.0

# Time in which the state of an engine is usually known again.
_MAX_SYNCHRONIZATION_S = 3.0

# Consecutive announcements without a model after which it counts as unloaded.
_MAX_MISSED_ANNOUNCEMENTS = 2


@dataclasses.dataclass(slots=True)
class ModelReplica:
    """A model that is or may be in the memory of an engine.

    Attributes:
        state: ``loaded``, ``loading``, ``unloading`` or ``retiring``.
        state_since: Time of the last state change.
        ready_at: Time at which a loading model is expected to be ready.
        adapters: Last use of each adapter that is or may be loaded.
        last_used_at: Time of the load order or of the last running request; 0
            if neither is known.
        missed_announcements: Consecutive announcements that did not list it.
    """

    state: str
    state_since: float
    ready_at: float = 0.0
    adapters: dict[str, float] = dataclasses.field(default_factory=dict)
    last_used_at: float = 0.0
    missed_announcements: int = 0


class Engine:
    """State of one incarnation of an engine.

    Attributes:
        registration: Latest announcement.
        limits: Capacity and models from the configuration.
        replicas: Models that are or may be in memory, by name.
        order_count: Orders that the engine has accepted since its start; None
            while its state is unknown.
        unknown_since: Time from which its state has been unknown.
        unreachable: Whether a gateway cannot connect to it; its replicas are
            not counted as serving then.
        swapping: Whether a swap of models is in progress.
        busy_while_unknown: Whether an engine of unknown state reported an order
            in progress, which may be a store load of an earlier lease holder.
        retry_at: Time before which no swap is planned.
        running_by_model: Running requests of all gateways, by model.
        adapters_in_use: Adapters with running requests, as (model, adapter).
        adapters_in_flight: Adapters whose load is planned or ordered, as
            (model, adapter). Their places stay counted.
        unsettled: Load orders without a response. Their memory stays counted.
        unloaded_at: Time of the last unload, by model.
        in_memory: Models with a cached copy in host memory.
        on_disk: Models with a cached copy on disk.
        copy_used_at: Time of the last load that used or left a copy, by model.
        announced_models: Models in the latest announcement.
        announcement_received: Set, and replaced, at each announcement.
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
        self.replicas: dict[str, ModelReplica] = {}
        self.order_count: int | None = None
        self.unknown_since = now
        self.swapping = False
        self.busy_while_unknown = False
        self.unreachable = False
        self.retry_at = 0.0
        self.running_by_model: dict[str, int] = {}
        self.adapters_in_use: set[tuple[str, str]] = set()
        self.adapters_in_flight: set[tuple[str, str]] = set()
        self.unsettled = unsettled_orders.UnsettledOrders()
        self.unloaded_at: dict[str, float] = {}
        self.in_memory = set(registration.in_memory)
        self.on_disk = set(registration.on_disk)
        self.copy_used_at: dict[str, float] = {}
        self.announced_models = {model.name for model in registration.models}
        self.announcement_received = asyncio.Event()
        self._index_models()
        for model in registration.models:
            self.replicas[model.name] = ModelReplica(
                state=LOADED,
                state_since=now,
                adapters=dict.fromkeys(model.adapters, now),
            )

    @property
    def target(self) -> str:
        """Target id of the engine."""
        return self.registration.target

    def configure(self, limits: ingress.IngressEngine) -> None:
        """Applies the limits of a new configuration."""
        if limits is not self.limits:
            self.limits = limits
            self._index_models()

    def _index_models(self) -> None:
        models = self.limits.models
        self._model_configs = {model.name: model for model in models}
        self._mean_model_bytes = (
            statistics.fmean(model.weights_bytes for model in models)
            if models
            else math.inf
        )

    def apply_announcement(
        self, registration: fleet.Registration, now: float
    ) -> None:
        """Updates the state from a later announcement of this incarnation.

        A newly listed model is added unless it was unloaded so recently that
        the announcement may be older than the unload. A loaded model is
        removed once consecutive announcements do not list it.
        """
        self.registration = registration
        self._free(self.unsettled.pop_expired(now))
        # The engine evicts cached copies, so the latest lists replace the
        # earlier ones.
        self.in_memory = set(registration.in_memory)
        self.on_disk = set(registration.on_disk)
        announced = {model.name: model for model in registration.models}
        self.announced_models = set(announced)
        self.announcement_received.set()
        self.announcement_received = asyncio.Event()
        for name, model in announced.items():
            if name in self.replicas:
                self.replicas[name].missed_announcements = 0
                continue
            unloaded_at = self.unloaded_at.get(name, float("-inf"))
            if now - unloaded_at > _MAX_ANNOUNCEMENT_AGE_S:
                self.replicas[name] = ModelReplica(
                    state=LOADED,
                    state_since=now,
                    adapters=dict.fromkeys(model.adapters, now),
                )
        for name, replica in list(self.replicas.items()):
            if (
                name in announced
                or replica.state not in (LOADED, RETIRING)
                or now - replica.state_since < _MAX_ANNOUNCEMENT_AGE_S
            ):
                continue
            replica.missed_announcements += 1
            if replica.missed_announcements >= _MAX_MISSED_ANNOUNCEMENTS:
                del self.replicas[name]

    def apply_report(self, report: engine_client.Report, now: float) -> None:
        """Applies a report.

        It lists nothing that was planned, but not ordered, when it was made.
        """
        self.order_count = report.order_count
        self._free(self.unsettled.pop_void(report.order_count))
        self.busy_while_unknown = False
        self.in_memory = set(report.in_memory)
        self.on_disk = set(report.on_disk)
        for name, replica in list(self.replicas.items()):
            planned = self.swapping and replica.state == LOADING
            if (
                name not in report.models
                and not report.busy
                and not planned
                and not self.unsettled.has_model(name)
            ):
                del self.replicas[name]
        for name, adapters in report.models.items():
            replica = self.replicas.setdefault(
                name, ModelReplica(state=LOADED, state_since=now)
            )
            if replica.state == LOADING:
                replica.state_since = now
            replica.state = LOADED
            for adapter, last_used_at in list(replica.adapters.items()):
                if (
                    adapter not in adapters
                    and (name, adapter) not in self.adapters_in_flight
                    and (name, adapter) not in self.unsettled
                    and now - last_used_at > _MAX_REPORT_AGE_S
                ):
                    del replica.adapters[adapter]
            for adapter in adapters:
                replica.adapters.setdefault(adapter, now)
        for name, adapter in report.pending_adapters:
            if name in self.replicas:
                self.replicas[name].adapters.setdefault(adapter, now)

    def accept_order(self, model: str, adapter: str, order_count: int) -> None:
        """Records an accepted order, which makes those before it void."""
        self.order_count = order_count
        self.unsettled.discard((model, adapter))
        self._free(self.unsettled.pop_void(order_count))

    def _free(self, items: list[unsettled_orders.Item]) -> None:
        """Frees what was kept for orders that can't be carried out any more."""
        for model, adapter in items:
            replica = self.replicas.get(model)
            if replica is not None and adapter:
                replica.adapters.pop(adapter, None)
            elif replica is not None and model not in self.announced_models:
                del self.replicas[model]

    def begin_load(self, model: str, *, ready_at: float, now: float) -> None:
        """Records that a load is planned, or was ordered."""
        self.replicas[model] = ModelReplica(
            state=LOADING, state_since=now, ready_at=ready_at, last_used_at=now
        )

    def finish_load(self, model: str, now: float) -> None:
        """Records that a load is complete and the weights are cached."""
        replica = self.replicas.get(model)
        if replica is not None and replica.state == LOADING:
            replica.state = LOADED
            replica.state_since = now
            replica.missed_announcements = 0
        self.in_memory.add(model)
        self.on_disk.add(model)
        self.copy_used_at[model] = now

    def begin_unload(self, model: str, now: float) -> None:
        """Records that an unload is planned."""
        replica = self.replicas.get(model)
        if replica is not None:
            replica.state, replica.state_since = UNLOADING, now

    def retire(self, model: str, now: float) -> None:
        """Records that a loaded model gets no new requests."""
        replica = self.replicas.get(model)
        if replica is not None and replica.state == LOADED:
            replica.state, replica.state_since = RETIRING, now

    def reactivate(self, model: str, now: float) -> None:
        """Records that a retiring model gets requests again."""
        replica = self.replicas.get(model)
        if replica is not None and replica.state == RETIRING:
            replica.state, replica.state_since = LOADED, now

    def finish_unload(self, model: str, now: float) -> None:
        """Records that the engine accepted an unload."""
        self.replicas.pop(model, None)
        self.unloaded_at[model] = now

    def load_s(self, model: str) -> float:
        """Returns the load time in seconds from the fastest local source.

        The weight store is used if there is no cached copy; its time assumes
        full read speed.
        """
        config = self._model_configs[model]
        if model in self.in_memory:
            return config.warm_load_s
        if model in self.on_disk:
            return config.disk_load_s
        return config.load_s

    def offers_copies(self, now: float) -> bool:
        """Returns whether its cached copies can be used, now or very soon."""
        if self.unreachable:
            return False
        known_soon = now - self.unknown_since < _MAX_SYNCHRONIZATION_S
        return self.order_count is not None or known_soon

    def has_copy(self, model: str) -> bool:
        """Returns whether a load has a cached copy to read from."""
        return model in self.in_memory or model in self.on_disk

    def loads_from_store(self, model: str) -> bool:
        """Returns whether a load has no cached copy to read from."""
        return not self.has_copy(model)

    def store_load_s(self, model: str) -> float:
        """Returns the time of a load from the weight store at full speed."""
        return self._model_configs[model].load_s

    def missing_disk_bytes(self, model: str) -> int:
        """Returns the bytes of copies that a further copy would displace."""
        if not self.limits.disk_bytes:
            return 0
        used = sum(self.size_bytes(name) for name in self.on_disk)
        return used + self.size_bytes(model) - self.limits.disk_bytes

    def ready_at(self) -> float:
        """Returns when its loads are expected to end; -inf without any."""
        return max(
            (r.ready_at for r in self.replicas.values() if r.state == LOADING),
            default=-math.inf,
        )

    def has_retiring_replica(self) -> bool:
        """Returns whether room is being made for another model."""
        return any(r.state == RETIRING for r in self.replicas.values())

    def is_configured(self, model: str) -> bool:
        """Returns whether the configuration allows a model on this engine."""
        return model in self._model_configs

    def size_bytes(self, model: str) -> int:
        """Returns the memory of a model's weights, without adapters.

        A model that is not configured is assumed to fill the engine.
        """
        config = self._model_configs.get(model)
        return (
            self.limits.weights_bytes
            if config is None
            else config.weights_bytes
        )

    def model_capacity(self) -> int:
        """Returns how many models of mean size fit into the memory."""
        return int(self.limits.weights_bytes // self._mean_model_bytes)

    def adapter_bytes(self, model: str) -> int:
        """Returns the memory of one adapter of a model."""
        config = self._model_configs.get(model)
        return 0 if config is None else config.adapter_bytes

    def free_bytes(self) -> int:
        """Returns the memory that no replica or adapter can occupy.

        It is negative if the engine announced models beyond those planned.
        """
        used = sum(
            self.size_bytes(name)
            + len(replica.adapters) * self.adapter_bytes(name)
            for name, replica in self.replicas.items()
        )
        return self.limits.weights_bytes - used

    def adapter_count(self) -> int:
        """Returns how many adapters are or may be loaded."""
        return sum(len(replica.adapters) for replica in self.replicas.values())

    def serves(self, model: str) -> bool:
        """Returns whether the engine is reachable and has or loads a model."""
        replica = self.replicas.get(model)
        return (
            replica is not None
            and replica.state in (LOADED, LOADING)
            and not self.unreachable
        )

    def update_usage(
        self, running: Mapping[tuple[str, str], int], now: float
    ) -> None:
        """Replaces the running requests, given by (model, adapter)."""
        self.running_by_model = {}
        self.adapters_in_use = set()
        for (name, adapter), count in running.items():
            if not count:
                continue
            self.running_by_model[name] = (
                self.running_by_model.get(name, 0) + count
            )
            replica = self.replicas.get(name)
            if replica is None:
                continue
            replica.last_used_at = now
            if adapter:
                self.adapters_in_use.add((name, adapter))
                if adapter in replica.adapters:
                    replica.adapters[adapter] = now
