"""Tells the gateways which models cannot be served for some time.

Load pattern: many requests name models that only the weight store has, and it
reads few at once. Gateways refuse at once what cannot be served in time.
"""

from collections.abc import Callable, Mapping, Sequence

from monsoonhinge.fleet import store_queue
from monsoonhinge.fleet import weightstore
from monsoonhinge.protocol import durations
from monsoonhinge.protocol import fleet

# Interval at which the delays are sent, and sent again.
_INTERVAL_S = 0.5

# Models in one message, so that its size is bounded.
_MAX_MODELS = 1_000


class DelayFeed:
    """Publishes the delays of the services that were planned last.

    Attributes:
        fencing: Fencing token of the lease under which models are placed.
    """

    def __init__(
        self, *, fencing: int, publish: Callable[[fleet.ModelDelays], None]
    ) -> None:
        self.fencing = fencing
        self._publish = publish
        self._delays: dict[str, Mapping[str, float]] = {}
        self._published_at = float("-inf")
        self._published_any = False

    def start_round(self) -> None:
        """Withdraws the delays of all services that are not planned again."""
        self._delays.clear()

    def record(
        self,
        service: str,
        queue: Sequence[store_queue.QueuedLoad],
        *,
        store: weightstore.StoreLimiter,
        now: float,
    ) -> None:
        """Replaces the delays of a service.

        Args:
            service: Name of the service.
            queue: Loads that wait for the store, in their order.
            store: Loads in progress and their limit.
            now: Current time in seconds.
        """
        self._delays[service] = store_queue.ready_in_s(
            queue,
            active_s=store.remaining_s(now),
            concurrency=store.max_concurrency,
        )

    def publish(self, now: float) -> None:
        """Publishes the delays if they are due."""
        if now - self._published_at < _INTERVAL_S:
            return
        delays = [
            fleet.ModelDelay(
                service=service,
                model=model,
                ready_in_ms=durations.to_ms(ready_in_s),
            )
            for service, by_model in self._delays.items()
            for model, ready_in_s in by_model.items()
        ]
        if not delays and not self._published_any:
            return
        self._published_at = now
        self._published_any = bool(delays)
        self._publish(
            fleet.ModelDelays(fencing=self.fencing, delays=delays[:_MAX_MODELS])
        )
