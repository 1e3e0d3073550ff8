"""Which member to watch and how stale a subscriber is, without any I/O."""

from collections.abc import Collection, Sequence
import dataclasses
import random

from monsoonhinge.control import mirror
from monsoonhinge.runtime import errors

PROBE_INTERVAL_S = 0.5
SWITCH_MEMBER_AFTER_S = 1.5

# A member that was left is chosen again only after this time, or if there is
# no other.
AVOID_MEMBER_S = 5.0

# Probes of a member that does not answer are not added without bound.
_MAX_PENDING_PROBES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Send ``Watch`` with the version in effect to the member."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Send a probe stamped with ``sent_at``."""

    member: str
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnect:
    """End the connection, so that the member drops the subscriber."""

    member: str


Action = Subscribe | Probe | Disconnect


class Subscription:
    """Watches one member at a time.

    All times are the subscriber's own monotonic time in seconds.

    Attributes:
        mirror: Configuration in effect.
        watched_member: Member that is watched, or "".
        fresh_at: Everything committed before this time is in effect here.
    """

    def __init__(self, *, members: Sequence[str], rng: random.Random) -> None:
        self.mirror = mirror.Mirror()
        self.watched_member = ""
        self.fresh_at: float | None = None
        # Subscribers spread over the members by starting at random ones.
        self._member_order = rng.sample(list(members), len(members))
        self._left_at: dict[str, float] = {}
        self._watched_at = 0.0
        self._subscribed = False
        self._next_subscribe_at = 0.0
        self._next_probe_at = 0.0
        self._pending_probes: set[float] = set()
        # Probes answered with a version that is not yet in effect.
        self._unapplied_replies: list[tuple[float, int]] = []

    def add_member(self, name: str) -> None:
        """Adds a member that may be watched."""
        if name not in self._member_order:
            self._member_order.append(name)

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
        if self.watched_member and self.watched_member not in connected:
            self._leave_member(now)
        if self.watched_member and self._is_stale(now):
            actions.append(Disconnect(self.watched_member))
            connected = [
                name for name in connected if name != self.watched_member
            ]
            self._leave_member(now)
        if not self.watched_member:
            self._choose_member(now, connected)
        if (
            self.watched_member
            and not self._subscribed
            and now >= self._next_subscribe_at
        ):
            self._subscribed = True
            self._next_subscribe_at = now + PROBE_INTERVAL_S
            actions.append(Subscribe(self.watched_member))
        if (
            self.watched_member
            and now >= self._next_probe_at
            and len(self._pending_probes) < _MAX_PENDING_PROBES
        ):
            self._next_probe_at = now + PROBE_INTERVAL_S
            self._pending_probes.add(now)
            actions.append(Probe(self.watched_member, now))
        return actions

    def receive(self, member: str, message: mirror.ConfigUpdate) -> bool:
        """Takes a message that a member pushed.

        Returns:
            Whether a new version is in effect.

        Raises:
            errors.ProtocolError: See ``Mirror.receive``. The next tick
                subscribes again.
        """
        if member != self.watched_member or not self._subscribed:
            return False
        try:
            installed = self.mirror.receive(message)
        except errors.ProtocolError:
            self._subscribed = False
            raise
        if installed:
            self._update_freshness()
        return installed

    def handle_probe_reply(self, sent_at: float, version: int) -> None:
        """Takes the answer of a probe.

        The leader confirmed that ``version`` was the latest at some time after
        ``sent_at``, whichever member relayed the probe.
        """
        self._pending_probes.discard(sent_at)
        self._unapplied_replies.append((sent_at, version))
        self._update_freshness()

    def handle_probe_failure(self, sent_at: float) -> None:
        """Takes the failure of a probe."""
        self._pending_probes.discard(sent_at)

    def handle_subscribe_failure(self, member: str, now: float) -> None:
        """Takes the failure of a subscription."""
        if member == self.watched_member:
            self._leave_member(now)

    def _update_freshness(self) -> None:
        version = self.mirror.view.version
        for sent_at, wanted in self._unapplied_replies:
            if wanted <= version and (
                self.fresh_at is None or sent_at > self.fresh_at
            ):
                self.fresh_at = sent_at
        self._unapplied_replies = [
            (sent_at, wanted)
            for sent_at, wanted in self._unapplied_replies
            if wanted > version
        ][-_MAX_PENDING_PROBES:]

    def _is_stale(self, now: float) -> bool:
        return (
            now - self._watched_at > SWITCH_MEMBER_AFTER_S
            and self.staleness(now) > SWITCH_MEMBER_AFTER_S
        )

    def _leave_member(self, now: float) -> None:
        self._left_at[self.watched_member] = now
        self.watched_member = ""
        self._subscribed = False
        self._pending_probes.clear()
        self.mirror.discard_partial()

    def _choose_member(self, now: float, connected: Collection[str]) -> None:
        candidates = [name for name in self._member_order if name in connected]
        if not candidates:
            return
        never = float("-inf")
        # The sort is stable: members that are not avoided keep their order.
        candidates.sort(
            key=lambda name: (
                left
                if now - (left := self._left_at.get(name, never))
                < AVOID_MEMBER_S
                else never
            )
        )
        self.watched_member = candidates[0]
        self._watched_at = now
        self._next_probe_at = now
        # A member that sends what cannot be applied is asked again only after
        # a pause, another one at once.
        self._next_subscribe_at = now
