"""Choice of the watched member and staleness tracking; performs no I/O."""

from collections.abc import Collection, Sequence
import dataclasses
import random

from monsoonhinge.control import config_freshness
from monsoonhinge.control import mirror
from monsoonhinge.runtime import errors

PROBE_INTERVAL_S = 0.5

# A watched member is replaced when the configuration has been stale this long.
SWITCH_MEMBER_AFTER_S = 1.5

# A member that was abandoned is chosen again only after this time, unless no
# other member is connected.
AVOID_MEMBER_S = 5.0

# Limits the pending probes of a member that does not reply.
_MAX_PENDING_PROBES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Action: send ``Watch`` with the version in effect to the member."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Action: send a freshness probe; its reply is matched by ``sent_at``."""

    member: str
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnect:
    """Action: close the connection, so that the member drops the watcher."""

    member: str


Action = Subscribe | Probe | Disconnect


class Subscription:
    """Watches one member at a time and switches when it becomes stale.

    All times are in seconds on the subscriber's own monotonic clock.

    Attributes:
        mirror: Local copy of the configuration.
        watched_member: Member that is watched; empty without one.
        fresh_at: Everything committed before this time is in effect here;
            None before the first confirmation.
        newest_version: Newest version that a leader has confirmed; 0 before
            the first confirmation.
    """

    def __init__(self, *, members: Sequence[str], rng: random.Random) -> None:
        self.mirror = mirror.Mirror()
        self.watched_member = ""
        self.fresh_at: float | None = None
        self.newest_version = 0
        # The random order spreads the subscribers over the members.
        self._member_order = rng.sample(list(members), len(members))
        self._abandoned_at: dict[str, float] = {}
        self._watched_at = 0.0
        # When the mirror received the latest part, and how many there were.
        self._progress_at = float("-inf")
        self._parts_seen = 0
        self._subscribed = False
        self._next_subscribe_at = 0.0
        self._next_probe_at = 0.0
        self._pending_probes: set[float] = set()
        # Send time and version of replies whose version is not yet in effect.
        self._unapplied_replies: list[tuple[float, int]] = []

    def add_member(self, name: str) -> None:
        """Adds a member to those that can be watched."""
        if name not in self._member_order:
            self._member_order.append(name)

    def staleness(self, now: float) -> float:
        """Returns the time since the configuration was known to be current."""
        return float("inf") if self.fresh_at is None else now - self.fresh_at

    def freshness(self, now: float) -> config_freshness.Freshness:
        """Returns what is known of the age of the configuration."""
        return config_freshness.Freshness(
            version=self.mirror.view.version,
            newest_version=self.newest_version,
            staleness_s=self.staleness(now),
        )

    def tick(self, now: float, connected: Collection[str]) -> list[Action]:
        """Returns the actions to perform now.

        Args:
            now: Current time.
            connected: Members with a usable connection.
        """
        actions: list[Action] = []
        if self.mirror.parts_received != self._parts_seen:
            self._parts_seen = self.mirror.parts_received
            self._progress_at = now
        if self.watched_member and self.watched_member not in connected:
            self._abandon_member(now)
        if self.watched_member and self._is_stale(now):
            actions.append(Disconnect(self.watched_member))
            connected = [
                name for name in connected if name != self.watched_member
            ]
            self._abandon_member(now)
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
        """Handles a configuration update from a member.

        Returns:
            Whether a new version has taken effect.

        Raises:
            errors.ProtocolError: As in ``Mirror.receive``. A later tick
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
        """Handles the reply to a probe.

        The leader has confirmed that ``version`` was the latest at some time
        after ``sent_at``, whichever member relayed the probe.
        """
        self._pending_probes.discard(sent_at)
        self.newest_version = max(self.newest_version, version)
        self._unapplied_replies.append((sent_at, version))
        self._update_freshness()

    def handle_probe_failure(self, sent_at: float) -> None:
        """Handles a probe that failed or got no reply."""
        self._pending_probes.discard(sent_at)

    def handle_subscribe_failure(self, member: str, now: float) -> None:
        """Handles a failed ``Watch`` request by switching the member."""
        if member == self.watched_member:
            self._abandon_member(now)

    def _update_freshness(self) -> None:
        current_version = self.mirror.view.version
        for sent_at, version in self._unapplied_replies:
            if version <= current_version and (
                self.fresh_at is None or sent_at > self.fresh_at
            ):
                self.fresh_at = sent_at
        self._unapplied_replies = [
            (sent_at, version)
            for sent_at, version in self._unapplied_replies
            if version > current_version
        ][-_MAX_PENDING_PROBES:]

    def _is_stale(self, now: float) -> bool:
        # A member that is sending a large configuration is not replaced: the
        # next one would begin anew.
        return (
            now - self._watched_at > SWITCH_MEMBER_AFTER_S
            and now - self._progress_at > SWITCH_MEMBER_AFTER_S
            and self.staleness(now) > SWITCH_MEMBER_AFTER_S
        )

    def _abandon_member(self, now: float) -> None:
        self._abandoned_at[self.watched_member] = now
        self.watched_member = ""
        self._subscribed = False
        self._pending_probes.clear()
        self.mirror.discard_partial()

    def _choose_member(self, now: float, connected: Collection[str]) -> None:
        candidates = [name for name in self._member_order if name in connected]
        if not candidates:
            return
        never = float("-inf")
        # Members abandoned recently come last, the earliest abandoned first.
        # The sort is stable, so the others keep their order.
        candidates.sort(
            key=lambda name: (
                abandoned_at
                if now - (abandoned_at := self._abandoned_at.get(name, never))
                < AVOID_MEMBER_S
                else never
            )
        )
        self.watched_member = candidates[0]
        self._watched_at = now
        self._next_probe_at = now
        # A new member is subscribed to at once. A member whose updates were
        # rejected is subscribed to again only after PROBE_INTERVAL_S.
        self._next_subscribe_at = now
