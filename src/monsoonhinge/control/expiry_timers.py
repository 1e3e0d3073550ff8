"""Expiry of leases and sessions, timed by the control leader.

All times are on the leader's own monotonic clock. A new leader grants every
lease and session its full TTL again, since it does not know when they were
last renewed.
"""

from collections.abc import Iterable, Mapping

from monsoonhinge.control.state import leases as lease_table
from monsoonhinge.protocol import messages


def session_name(hello: messages.Hello) -> str:
    """Returns the session id of a process: its node and incarnation."""
    return f"{hello.node}/{hello.incarnation}"


class LeaseTimer:
    """Tracks when each lease was last renewed.

    Once the expiry of a lease has been proposed, its renewals are refused.
    Otherwise both the renewal and the expiry could succeed.
    """

    def __init__(
        self, *, ttl_s: float, ttls_by_name_s: Mapping[str, float] | None = None
    ) -> None:
        """Initializes the timer.

        Args:
            ttl_s: Default time to live of a lease.
            ttls_by_name_s: Times to live that differ from the default, by
                lease name.
        """
        self._ttl_s = ttl_s
        self._ttls_by_name_s = dict(ttls_by_name_s or {})
        self._renewed_at: dict[tuple[str, int], float] = {}
        self._expiring: set[tuple[str, int]] = set()

    def ttl_s(self, name: str) -> float:
        """Returns the time to live of a lease, in seconds."""
        return self._ttls_by_name_s.get(name, self._ttl_s)

    def reset(self) -> None:
        """Clears all times at the start of a leader's term."""
        self._renewed_at.clear()
        self._expiring.clear()

    def record_renewal(self, name: str, fencing: int, now: float) -> bool:
        """Records a renewal.

        Args:
            name: Lease name.
            fencing: Fencing token of the grant.
            now: Time at which the renewal was received.

        Returns:
            Whether the lease is renewed; False once its expiry has begun.
        """
        if (name, fencing) in self._expiring:
            return False
        previous = self._renewed_at.get((name, fencing), now)
        self._renewed_at[name, fencing] = max(previous, now)
        return True

    def begin_expiry(
        self, leases: Mapping[str, lease_table.Lease], now: float
    ) -> list[tuple[str, int]]:
        """Marks leases that have expired and refuses their renewal.

        Args:
            leases: All granted leases by name.
            now: Current time.

        Returns:
            Name and fencing token of each lease whose expiry is to be
            proposed.
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
        """Permits renewals again after an expiry was not committed."""
        self._expiring.discard((name, fencing))


class SessionTimer:
    """Tracks when each session last sent a probe."""

    def __init__(self, *, ttl_s: float) -> None:
        self.ttl_s = ttl_s
        self._last_seen_at: dict[str, float] = {}

    def reset(self) -> None:
        """Clears all times at the start of a leader's term."""
        self._last_seen_at.clear()

    def record_probe(self, session: str, now: float) -> None:
        """Records that a session has sent a probe."""
        self._last_seen_at[session] = now

    def expired(self, sessions: Iterable[str], now: float) -> list[str]:
        """Returns the given sessions that have expired.

        Args:
            sessions: Sessions to check, such as those with running calls.
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
