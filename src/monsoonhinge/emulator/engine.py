"""Emulated model engine."""

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

_MAX_KEPT_OUTCOMES = 256
_MAX_KEPT_ORDERS = 4096
_MAX_LOAD_HISTORY = 1024


@dataclasses.dataclass(slots=True)
class Replica:
    """A replica of a model on the engine."""

    model: str
    version: str
    order_id: str
    slots: batching.Slots
    state: str = "loading"
    adapters: set[str] = dataclasses.field(default_factory=set)

    def serves(self, name: str) -> bool:
        """Returns whether requests for a model or adapter can run on it."""
        return self.state == "loaded" and (
            self.model == name or name in self.adapters
        )


class Engine(targets.Target):
    """An engine with replicas, accelerator memory and a prompt cache.

    Attributes:
        fencing: Highest fencing token seen.
        refused_orders: Number of orders refused for an old fencing token.
        received_orders: Most recent orders as received.
        outcomes: Most recent outcomes by order id.
        replicas: Replicas by the id of the order that created them.
        memory: Accelerator memory.
        prefix_cache: Prompt prefix cache.
        weight_store: Client that loads weights.
        cached_checkpoints: Models and versions cached on the engine's disk.
    """

    def __init__(self, config: options.Emulator) -> None:
        super().__init__(config)
        self.fencing = 0
        self.refused_orders = 0
        self.received_orders: collections.deque[dict[str, Any]] = (
            collections.deque(maxlen=_MAX_KEPT_ORDERS)
        )
        self.outcomes: dict[str, dict[str, str]] = {}
        self.replicas: dict[str, Replica] = {}
        self.memory = memory.Memory(total_bytes=config.memory_bytes)
        self.prefix_cache = prefixcache.PrefixCache(
            size=config.cached_prefixes,
            lag_s=config.cache_lag_s,
            drop_every=config.cache_gap_every,
        )
        self.weight_store = weightstore.WeightStoreClient(config.store)
        self.cached_checkpoints: dict[tuple[str, str], None] = {}
        self._load_history: collections.deque[
            tuple[float, dict[str, tuple[int, int]]]
        ] = collections.deque(maxlen=_MAX_LOAD_HISTORY)

    def add_replica(self, *, model: str, version: str, order_id: str) -> None:
        """Adds a replica in the state ``loading``."""
        self.replicas[order_id] = Replica(
            model=model,
            version=version,
            order_id=order_id,
            slots=batching.Slots(self.config.slots),
        )

    def record_outcome(self, order_id: str, outcome: str, reason: str) -> None:
        """Records the outcome of an order, to be announced."""
        self.outcomes[order_id] = {
            "order_id": order_id,
            "outcome": outcome,
            "reason": reason,
        }
        while len(self.outcomes) > _MAX_KEPT_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]

    def find_replica(self, name: str) -> Replica | None:
        """Returns the least busy replica that serves a model or adapter."""
        candidates = [
            item for item in self.replicas.values() if item.serves(name)
        ]
        return min(
            candidates,
            key=lambda item: item.slots.running + item.slots.waiting,
            default=None,
        )

    def announcement(self) -> dict[str, Any]:
        """Returns the current announcement, without cache events."""
        load = self._delayed_load(time.monotonic())
        return {
            **super().announcement(),
            "fencing": self.fencing,
            "cached": [
                {"model": model, "version": version, "tier": "disk"}
                for model, version in self.cached_checkpoints
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
        batch, events = self.prefix_cache.next_batch(time.monotonic())
        return {
            **self.announcement(),
            "cache_batch": batch,
            "cache_events": events,
        }

    def dump(self) -> dict[str, Any]:
        """Returns the state for tests, with requests and orders received."""
        return {
            **super().dump(),
            "orders": list(self.received_orders),
            "refused_orders": self.refused_orders,
            "memory": {
                **dataclasses.asdict(self.memory),
                "used_bytes": self.memory.used_bytes,
            },
            "slots": {
                replica.order_id: {
                    "running": replica.slots.running,
                    "waiting": replica.slots.waiting,
                    "peak": replica.slots.peak_running,
                }
                for replica in self.replicas.values()
            },
            "cache": {
                "batch": self.prefix_cache.batch_number,
                "hits": self.prefix_cache.hit_count,
            },
        }

    def _delayed_load(self, now: float) -> dict[str, tuple[int, int]]:
        current = {
            order_id: (replica.slots.running, replica.slots.waiting)
            for order_id, replica in self.replicas.items()
        }
        if not self.config.load_lag_s:
            return current
        self._load_history.append((now, current))
        # Keeps the newest entry that is at least load_lag_s old.
        while (
            len(self._load_history) > 1
            and now - self._load_history[1][0] >= self.config.load_lag_s
        ):
            self._load_history.popleft()
        reported_at, load = self._load_history[0]
        return load if now - reported_at >= self.config.load_lag_s else {}
