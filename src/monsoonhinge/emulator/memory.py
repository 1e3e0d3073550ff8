"""Accelerator memory of an emulated engine."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Memory:
    """Tracks reserved bytes and refuses reservations that do not fit.

    Attributes:
        total_bytes: Size of the memory.
        reserved: Bytes by reservation id.
        peak_bytes: Largest number of bytes reserved at a time.
        overcommit_attempts: Number of reservations that did not fit.
    """

    total_bytes: int
    reserved: dict[str, int] = dataclasses.field(default_factory=dict)
    peak_bytes: int = 0
    overcommit_attempts: int = 0

    @property
    def used_bytes(self) -> int:
        """Bytes reserved now."""
        return sum(self.reserved.values())

    def reserve(self, reservation_id: str, size_bytes: int) -> bool:
        """Reserves memory and returns whether it fits."""
        if self.used_bytes + size_bytes > self.total_bytes:
            self.overcommit_attempts += 1
            return False
        self.reserved[reservation_id] = size_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        return True

    def release(self, reservation_id: str) -> None:
        """Releases a reservation; unknown ids are ignored."""
        self.reserved.pop(reservation_id, None)
