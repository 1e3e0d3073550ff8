"""Which member to ask for the leader, without any I/O."""

from collections.abc import Collection, Sequence
import random

_FIRST_DELAY_S = 0.05
_MAX_DELAY_S = 0.5

# Two members that each take the other for the leader are asked with delays
# after this many redirects in a row.
_MAX_REDIRECTS = 2


class LeaderTracker:
    """Follows redirects and tries members in turn when there are none."""

    def __init__(self, *, members: Sequence[str], rng: random.Random) -> None:
        self._members = rng.sample(list(members), len(members))
        self._leader = ""

    def add_member(self, name: str) -> None:
        """Adds a member that may be asked."""
        if name not in self._members:
            self._members.append(name)

    def choose_member(self, connected: Collection[str]) -> str:
        """Returns the member to ask, or "" if none is connected."""
        if self._leader in connected:
            return self._leader
        candidates = [name for name in self._members if name in connected]
        if not candidates:
            return ""
        self._leader = candidates[0]
        return self._leader

    def set_leader(self, leader: str) -> None:
        """Takes the leader from a source that knows it."""
        if leader in self._members:
            self._leader = leader

    def handle_redirect(self, member: str, leader: str) -> bool:
        """Takes a redirect.

        Returns:
            Whether the named leader is worth asking at once.
        """
        if leader in self._members and leader != member:
            self._leader = leader
            return True
        self.handle_failure(member)
        return False

    def handle_failure(self, member: str) -> None:
        """Takes the failure of a member to answer."""
        if member in self._members:
            self._members.remove(member)
            self._members.append(member)
        if self._leader == member:
            self._leader = ""


class Backoff:
    """Delays between the attempts of one request."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._limit = _FIRST_DELAY_S
        self._redirects = 0

    def after_redirect(self) -> float:
        """Returns the delay in seconds after a redirect to a known leader."""
        self._redirects += 1
        if self._redirects <= _MAX_REDIRECTS:
            return 0.0
        return self.after_failure()

    def after_failure(self) -> float:
        """Returns the delay in seconds, with full jitter."""
        delay = self._rng.uniform(0, self._limit)
        self._limit = min(self._limit * 2, _MAX_DELAY_S)
        return delay
