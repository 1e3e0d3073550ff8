"""Which member to watch and how stale a subscriber is, without any I/O."""

from collections.abc import Collection, Sequence
import dataclasses
import random

from monsoonhinge.control import mirror
from monsoonhinge.runtime import errors

PROBE_INTERVAL_S = 0.5
SWITCH_AFTER_S = 1.5

# A member that was left is chosen again only after this time, or if there is
# no other.
AVOID_S = 5.0

# Probes of a member that does not answer are not added without bound.
_MAX_PROBES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Send ``Watch`` with the version in effect to the member."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Send a probe stamped with ``asked_at``."""

    member: str
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """End the connection, so that the member drops the subscriber."""

    member: str


Action = Subscribe | Probe | Leave


class Subscription:
    """Watches one member at a time.

    All times are the subscriber's own monotonic time in seconds.

    Attributes:
        mirror: Configuration in effect.
        watched: Member that is watched, or "".
        fresh_at: Everything committed before this time is in effect here.
    """

    def __init__(self, *, members: Sequence[str], rng: random.Random) -> None:
        self.mirror = mirror.Mirror()
        self.watched = ""
        self.fresh_at: float | None = None
        # Subscribers spread over the members by starting at random ones.
        self._order = rng.sample(list(members), len(members))
        self._left_at: dict[str, float] = {}
        self._watched_at = 0.0
        self._subscribed = False
        self._next_subscribe = 0.0
        self._next_probe = 0.0
        self._probes: set[float] = set()
        # Probes answered with a version that is not yet in effect.
        self._confirmed: list[tuple[float, int]] = []

    def add_member(self, name: str) -> None:
        """Adds a member that may be watched."""
        if name not in self._order:
            self._order.append(name)

    def staleness(self, now: float) -> float:
        """Returns seconds since everything committed was known here."""
        return float("inf") if self.fresh_at is None else now - self.fresh_at

    def tick(self, now: float, connected: Collection[str]) -> list[Action]:
        """Returns what to do now.

        Args:
            now: Current time.
            connected: Members with a usable connection.
        """
        actions: list[Action] = []
        if self.watched and self.watched not in connected:
            self._leave(now)
        if self.watched and self._is_stale(now):
            actions.append(Leave(self.watched))
            connected = [name for name in connected if name != self.watched]
            self._leave(now)
        if not self.watched:
            self._choose(now, connected)
        if (
            self.watched
            and not self._subscribed
            and now >= self._next_subscribe
        ):
            self._subscribed = True
            self._next_subscribe = now + PROBE_INTERVAL_S
            actions.append(Subscribe(self.watched))
        if (
            self.watched
            and now >= self._next_probe
            and len(self._probes) < _MAX_PROBES
        ):
            self._next_probe = now + PROBE_INTERVAL_S
            self._probes.add(now)
            actions.append(Probe(self.watched, now))
        return actions

    def receive(self, member: str, message: mirror.Push) -> bool:
        """Takes a message that a member pushed.

        Returns:
            Whether a new version is in effect.

        Raises:
            errors.ProtocolError: See ``Mirror.receive``. The next tick
                subscribes again.
        """
        if member != self.watched or not self._subscribed:
            return False
        try:
            installed = self.mirror.receive(message)
        except errors.ProtocolError:
            self._subscribed = False
            raise
        if installed:
            self._settle_probes()
        return installed

    def answered(self, asked_at: float, version: int) -> None:
        """Takes the answer of a probe.

        The leader confirmed that ``version`` was the latest at some time after
        ``asked_at``, whichever member relayed the probe.
        """
        self._probes.discard(asked_at)
        self._confirmed.append((asked_at, version))
        self._settle_probes()

    def probe_failed(self, asked_at: float) -> None:
        """Takes the failure of a probe."""
        self._probes.discard(asked_at)

    def subscribe_failed(self, member: str, now: float) -> None:
        """Takes the failure of a subscription."""
        if member == self.watched:
            self._leave(now)

    def _settle_probes(self) -> None:
        version = self.mirror.view.version
        for asked_at, wanted in self._confirmed:
            if wanted <= version and (
                self.fresh_at is None or asked_at > self.fresh_at
            ):
                self.fresh_at = asked_at
        self._confirmed = [
            (asked_at, wanted)
            for asked_at, wanted in self._confirmed
            if wanted > version
        ][-_MAX_PROBES:]

    def _is_stale(self, now: float) -> bool:
        return (
            now - self._watched_at > SWITCH_AFTER_S
            and self.staleness(now) > SWITCH_AFTER_S
        )

    def _leave(self, now: float) -> None:
        self._left_at[self.watched] = now
        self.watched = ""
        self._subscribed = False
        self._probes.clear()
        self.mirror.restart()

    def _choose(self, now: float, connected: Collection[str]) -> None:
        candidates = [name for name in self._order if name in connected]
        if not candidates:
            return
        never = float("-inf")
        # The sort is stable: members that are not avoided keep their order.
        candidates.sort(
            key=lambda name: (
                left
                if now - (left := self._left_at.get(name, never)) < AVOID_S
                else never
            )
        )
        self.watched = candidates[0]
        self._watched_at = now
        self._next_probe = now
        # A member that sends what cannot be applied is asked again only after
        # a pause, another one at once.
        self._next_subscribe = now
