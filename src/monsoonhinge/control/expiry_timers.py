"""Timing of leases and sessions on the leader.

Times are the leader's own monotonic clock. A new leader starts every lease
and session afresh, since it does not know when they were last renewed.
"""

from collections.abc import Iterable, Mapping

from monsoonhinge.control.state import leases as lease_table
from monsoonhinge.protocol import messages


def session_name(hello: messages.Hello) -> str:
    """Returns the session of a process: its node and incarnation."""
    return f"{hello.node}/{hello.incarnation}"


class LeaseTimer:
    """When each lease was last renewed.

    A lease whose expiry is proposed is not renewed any more: its renewal and
    the expiry could otherwise both succeed.
    """

    def __init__(
        self, *, ttl_s: float, ttls_by_name_s: Mapping[str, float] | None = None
    ) -> None:
        """Makes a timer.

        Args:
            ttl_s: Time to live of a lease.
            ttls_by_name_s: Other times, by the name of the lease.
        """
        self._ttl_s = ttl_s
        self._ttls_by_name_s = dict(ttls_by_name_s or {})
        self._renewed_at: dict[tuple[str, int], float] = {}
        self._expiring: set[tuple[str, int]] = set()

    def ttl_s(self, name: str) -> float:
        """Returns the time to live of a lease, in seconds."""
        return self._ttls_by_name_s.get(name, self._ttl_s)

    def reset(self) -> None:
        """Begins a term of leadership."""
        self._renewed_at.clear()
        self._expiring.clear()

    def record_renewal(self, name: str, fencing: int, now: float) -> bool:
        """Notes a confirmed renewal; returns whether the lease holds."""
        if (name, fencing) in self._expiring:
            return False
        known = self._renewed_at.get((name, fencing), now)
        self._renewed_at[name, fencing] = max(known, now)
        return True

    def begin_expiry(
        self, leases: Mapping[str, lease_table.Lease], now: float
    ) -> list[tuple[str, int]]:
        """Returns name and fencing number of leases to expire now.

        Args:
            leases: Leases held.
            now: Current time.
        """
        held = {(name, lease.fencing) for name, lease in leases.items()}
        self._renewed_at = {
            key: self._renewed_at.get(key, now) for key in sorted(held)
        }
        self._expiring &= held
        expired = [
            key
            for key, renewed_at in self._renewed_at.items()
            if now - renewed_at > self.ttl_s(key[0])
            and key not in self._expiring
        ]
        self._expiring.update(expired)
        return expired

    def cancel_expiry(self, name: str, fencing: int) -> None:
        """Notes that an expiry was not committed."""
        self._expiring.discard((name, fencing))


class SessionTimer:
    """When each session was last heard."""

    def __init__(self, *, ttl_s: float) -> None:
        self.ttl_s = ttl_s
        self._last_seen_at: dict[str, float] = {}

    def reset(self) -> None:
        """Begins a term of leadership."""
        self._last_seen_at.clear()

    def record_probe(self, session: str, now: float) -> None:
        """Notes a probe of a session."""
        self._last_seen_at[session] = now

    def expired(self, sessions: Iterable[str], now: float) -> list[str]:
        """Returns which of some sessions have expired.

        Args:
            sessions: Sessions that matter, such as those with running calls.
            now: Current time.
        """
        for session, last_seen_at in list(self._last_seen_at.items()):
            if now - last_seen_at > 2 * self.ttl_s:
                del self._last_seen_at[session]
        return [
            session
            for session in set(sessions)
            if now - self._last_seen_at.setdefault(session, now) > self.ttl_s
        ]
