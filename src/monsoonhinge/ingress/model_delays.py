"""Models that cannot be served for some time, as the lease holder estimates."""

from monsoonhinge.protocol import fleet

# Estimates that are not renewed are dropped: their sender may be gone.
_EXPIRY_S = 3.0


class ModelDelays:
    """Latest estimates of the holder of the fleet lease.

    Attributes:
        fencing: Fencing token under which they were made.
    """

    def __init__(self) -> None:
        self.fencing = 0
        self._ready_at: dict[tuple[str, str], float] = {}
        self._received_at = float("-inf")

    def apply(self, message: fleet.ModelDelays, now: float) -> bool:
        """Replaces the estimates; returns False if their token is old."""
        if message.fencing < self.fencing:
            return False
        self.fencing = message.fencing
        self._received_at = now
        self._ready_at = {
            (delay.service, delay.model): now + delay.ready_in_ms / 1000
            for delay in message.delays
        }
        return True

    def ready_at(self, service: str, model: str, now: float) -> float | None:
        """Returns the earliest time at which a model can be ready, or None."""
        if now - self._received_at > _EXPIRY_S:
            return None
        return self._ready_at.get((service, model))
