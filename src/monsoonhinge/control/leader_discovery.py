"""Discovery of the control leader; performs no I/O."""

from collections.abc import Collection, Sequence
import random

_INITIAL_DELAY_S = 0.05
_MAX_DELAY_S = 0.5

# Number of redirects of one request that are followed without a delay. Two
# members may each redirect to the other.
_MAX_IMMEDIATE_REDIRECTS = 2


class LeaderTracker:
    """Follows redirects to the leader, or tries the members in turn."""

    def __init__(self, *, members: Sequence[str], rng: random.Random) -> None:
        self._members = rng.sample(list(members), len(members))
        self._likely_leader = ""

    def add_member(self, name: str) -> None:
        """Adds a member to those that are tried."""
        if name not in self._members:
            self._members.append(name)

    def choose_member(self, connected: Collection[str]) -> str:
        """Returns the member to send to, or "" if none is connected."""
        if self._likely_leader in connected:
            return self._likely_leader
        candidates = [name for name in self._members if name in connected]
        if not candidates:
            return ""
        self._likely_leader = candidates[0]
        return self._likely_leader

    def set_leader(self, leader: str) -> None:
        """Sets the leader; an unknown member is ignored."""
        if leader in self._members:
            self._likely_leader = leader

    def handle_redirect(self, member: str, leader: str) -> bool:
        """Handles a reply that the member is not the leader.

        Args:
            member: Member that replied.
            leader: Leader that it names, or "".

        Returns:
            Whether the reply names another known member as the leader.
        """
        if leader in self._members and leader != member:
            self._likely_leader = leader
            return True
        self.handle_failure(member)
        return False

    def handle_failure(self, member: str) -> None:
        """Moves a member whose request failed to the end of the order."""
        if member in self._members:
            self._members.remove(member)
            self._members.append(member)
        if self._likely_leader == member:
            self._likely_leader = ""


class Backoff:
    """Exponential backoff with full jitter between attempts of a request."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._max_delay_s = _INITIAL_DELAY_S
        self._redirects = 0

    def after_redirect(self) -> float:
        """Returns the delay in seconds after a redirect to a known member."""
        self._redirects += 1
        if self._redirects <= _MAX_IMMEDIATE_REDIRECTS:
            return 0.0
        return self.after_failure()

    def after_failure(self) -> float:
        """Returns the delay in seconds after a failed attempt."""
        delay = self._rng.uniform(0, self._max_delay_s)
        self._max_delay_s = min(self._max_delay_s * 2, _MAX_DELAY_S)
        return delay
