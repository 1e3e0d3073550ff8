"""Stand-in for a model engine."""

import collections
import dataclasses
import time
from typing import Any

from monsoonhinge.emulator import batching
from monsoonhinge.emulator import memory
from monsoonhinge.emulator import options
from monsoonhinge.emulator import prefixcache
from monsoonhinge.emulator import target as targets
from monsoonhinge.emulator import weightstore

_KEPT_OUTCOMES = 256
_KEPT_ORDERS = 4096


@dataclasses.dataclass(slots=True)
class Replica:
    """A replica on the engine."""

    model: str
    version: str
    order_id: str
    slots: batching.Slots
    state: str = "loading"
    adapters: set[str] = dataclasses.field(default_factory=set)

    def serves(self, name: str) -> bool:
        """Returns whether it can answer for a model or adapter."""
        return self.state == "loaded" and (
            self.model == name or name in self.adapters
        )


class Engine(targets.Target):
    """An engine with replicas, memory and a prompt cache.

    Attributes:
        fencing: Highest fencing number seen.
        refused_orders: Orders refused for an old fencing number.
        orders: Latest orders as received.
        outcomes: Latest outcomes by order id.
        replicas: Replicas by the id of the order that created them.
        memory: Accelerator memory.
        prefixes: Prompt prefix cache.
        store: Source of weights.
        checkpoints: Versions loaded before, kept on the engine's disk.
    """

    def __init__(self, config: options.Emulator) -> None:
        super().__init__(config)
        self.fencing = 0
        self.refused_orders = 0
        self.orders: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_KEPT_ORDERS
        )
        self.outcomes: dict[str, dict[str, str]] = {}
        self.replicas: dict[str, Replica] = {}
        self.memory = memory.Memory(total_bytes=config.memory_bytes)
        self.prefixes = prefixcache.PrefixCache(
            size=config.cached_prefixes,
            lag_s=config.cache_lag_s,
            gap_every=config.cache_gap_every,
        )
        self.store = weightstore.Client(config.store)
        self.checkpoints: dict[tuple[str, str], None] = {}
        self._reports: collections.deque[
            tuple[float, dict[str, tuple[int, int]]]
        ] = collections.deque(maxlen=1024)

    def new_replica(self, *, model: str, version: str, order_id: str) -> None:
        """Adds a replica that is loading."""
        self.replicas[order_id] = Replica(
            model=model,
            version=version,
            order_id=order_id,
            slots=batching.Slots(self.config.slots),
        )

    def finish_order(self, order_id: str, outcome: str, reason: str) -> None:
        """Remembers the outcome of an order."""
        self.outcomes[order_id] = {
            "order_id": order_id,
            "outcome": outcome,
            "reason": reason,
        }
        while len(self.outcomes) > _KEPT_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]

    def find(self, name: str) -> Replica | None:
        """Returns the least busy replica that serves a name."""
        found = [item for item in self.replicas.values() if item.serves(name)]
        return min(
            found,
            key=lambda item: item.slots.running + item.slots.waiting,
            default=None,
        )

    def announcement(self) -> dict[str, Any]:
        """Returns the announcement as of now."""
        load = self._reported_load(time.monotonic())
        return {
            **super().announcement(),
            "fencing": self.fencing,
            "cached": [
                {"model": model, "version": version, "tier": "disk"}
                for model, version in self.checkpoints
            ],
            "replicas": [
                {
                    "model": replica.model,
                    "version": replica.version,
                    "state": replica.state,
                    "order_id": replica.order_id,
                    "adapters": sorted(replica.adapters),
                    "running": load.get(replica.order_id, (0, 0))[0],
                    "waiting": load.get(replica.order_id, (0, 0))[1],
                }
                for replica in self.replicas.values()
            ],
            "orders": list(self.outcomes.values()),
        }

    def next_announcement(self) -> dict[str, Any]:
        """Returns the announcement to post, with new cache events."""
        batch, events = self.prefixes.next_batch(time.monotonic())
        return {
            **self.announcement(),
            "cache_batch": batch,
            "cache_events": events,
        }

    def dump(self) -> dict[str, Any]:
        """Returns what tests look at."""
        return {
            **super().dump(),
            "orders": list(self.orders),
            "refused_orders": self.refused_orders,
            "memory": {
                **dataclasses.asdict(self.memory),
                "used_bytes": self.memory.used_bytes,
            },
            "slots": {
                replica.order_id: {
                    "running": replica.slots.running,
                    "waiting": replica.slots.waiting,
                    "peak": replica.slots.peak,
                }
                for replica in self.replicas.values()
            },
            "cache": {
                "batch": self.prefixes.batch,
                "hits": self.prefixes.hits,
            },
        }

    def _reported_load(self, now: float) -> dict[str, tuple[int, int]]:
        current = {
            order_id: (replica.slots.running, replica.slots.waiting)
            for order_id, replica in self.replicas.items()
        }
        if not self.config.load_lag_s:
            return current
        self._reports.append((now, current))
        # The oldest report that is due stays until a newer one is due.
        while (
            len(self._reports) > 1
            and now - self._reports[1][0] >= self.config.load_lag_s
        ):
            self._reports.popleft()
        at, load = self._reports[0]
        return load if now - at >= self.config.load_lag_s else {}
