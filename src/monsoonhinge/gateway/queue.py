"""Waiting requests in weighted fair order between teams.

A lane holds the requests that wait for the same thing, such as a model. In
each lane a team has a virtual time that advances by ``tokens / weight`` for
each request served; the team with the lowest virtual time is served next. A
request that leaves unserved costs its team nothing.
"""

import collections
from collections.abc import Callable, Iterator
import dataclasses
import heapq
import itertools

# Finished entries are removed from a heap once they outnumber the live ones;
# the offset keeps small heaps from being rebuilt at every step.
_COMPACT_OFFSET = 64


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A waiting request.

    Attributes:
        lane: What it waits for.
        team: Team as which it runs.
        key_hash: Hash of the caller's key, or "" on an open route.
        tokens: Tokens it is charged.
        size_bytes: Memory that it holds while it waits.
        deadline: Time by which it must have been served, in seconds.
        weight: Weight of the team.
        waiting: Whether it is still in the queue.
    """

    lane: str
    team: str
    key_hash: str
    tokens: int
    size_bytes: int
    deadline: float
    weight: float = 1.0
    waiting: bool = False


class _Deadlines:
    """Tickets by deadline; tickets that left are dropped lazily."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Ticket]] = []
        self._numbers = itertools.count()

    def add(self, ticket: Ticket, live: int) -> None:
        if len(self._heap) > 2 * live + _COMPACT_OFFSET:
            self._heap = [item for item in self._heap if item[2].waiting]
            heapq.heapify(self._heap)
        heapq.heappush(
            self._heap, (ticket.deadline, next(self._numbers), ticket)
        )

    def first(self) -> Ticket | None:
        while self._heap and not self._heap[0][2].waiting:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None


class _Group:
    """The requests of one team in one lane, first come first served."""

    def __init__(self, team: str) -> None:
        self.team = team
        self.virtual_time = 0.0
        self.blocked = False
        self.queued = False
        self.tokens = 0
        self.tickets: collections.OrderedDict[Ticket, None] = (
            collections.OrderedDict()
        )
        self.deadlines = _Deadlines()


class _Lane:
    """The teams that wait for the same thing."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.count = 0
        self.groups: dict[str, _Group] = {}
        self._order: list[tuple[float, int, _Group]] = []
        self._numbers = itertools.count()

    def activate(self, group: _Group) -> None:
        """Puts a team with waiting requests into the order of service."""
        if group.queued or group.blocked or not group.tickets:
            return
        # A team that was idle gets no credit for the time it did not use.
        group.virtual_time = max(group.virtual_time, self.virtual_time)
        group.queued = True
        heapq.heappush(
            self._order, (group.virtual_time, next(self._numbers), group)
        )

    def next_group(self) -> _Group | None:
        """Removes and returns the team to serve next."""
        while self._order:
            group = heapq.heappop(self._order)[2]
            group.queued = False
            if group.tickets and not group.blocked:
                return group
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Requests of one team in one lane."""

    lane: str
    team: str
    count: int
    earliest_deadline: float


class Queue:
    """Bounded queue of waiting requests.

    A team may hold at most as many requests, and as many bytes, as are free
    in the whole queue. One team alone therefore fills at most half of it, and
    k teams together leave 1/(k+1) for others.

    Attributes:
        max_count: Most requests.
        max_bytes: Most bytes held by waiting requests.
    """

    def __init__(self, *, max_count: int, max_bytes: int) -> None:
        self.max_count = max_count
        self.max_bytes = max_bytes
        self.count = 0
        self.size_bytes = 0
        self._lanes: dict[str, _Lane] = {}
        self._team_count: collections.Counter[str] = collections.Counter()
        self._team_bytes: collections.Counter[str] = collections.Counter()
        self._by_key: dict[str, dict[Ticket, None]] = {}
        self._blocked: dict[str, set[str]] = {}
        self._deadlines = _Deadlines()

    def push(self, ticket: Ticket) -> bool:
        """Adds a request; returns False if there is no room for it."""
        count_left = self.max_count - self.count
        bytes_left = self.max_bytes - self.size_bytes - ticket.size_bytes
        if (
            self._team_count[ticket.team] >= count_left
            or self._team_bytes[ticket.team] + ticket.size_bytes > bytes_left
        ):
            return False
        lane = self._lanes.setdefault(ticket.lane, _Lane())
        group = lane.groups.get(ticket.team)
        if group is None:
            group = lane.groups[ticket.team] = _Group(ticket.team)
        ticket.waiting = True
        group.tickets[ticket] = None
        group.tokens += ticket.tokens
        lane.count += 1
        self.count += 1
        self.size_bytes += ticket.size_bytes
        self._team_count[ticket.team] += 1
        self._team_bytes[ticket.team] += ticket.size_bytes
        self._by_key.setdefault(ticket.key_hash, {})[ticket] = None
        self._deadlines.add(ticket, self.count)
        group.deadlines.add(ticket, len(group.tickets))
        lane.activate(group)
        return True

    def pop(
        self, lane_name: str, charge: Callable[[Ticket], bool]
    ) -> Ticket | None:
        """Removes and returns the request of a lane to serve next.

        Args:
            lane_name: The lane.
            charge: Charges the request to its team. If it returns False, the
                team is passed over until ``unblock``.
        """
        lane = self._lanes.get(lane_name)
        if lane is None:
            return None
        while (group := lane.next_group()) is not None:
            ticket = next(iter(group.tickets))
            if not charge(ticket):
                group.blocked = True
                self._blocked.setdefault(group.team, set()).add(lane_name)
                continue
            lane.virtual_time = max(lane.virtual_time, group.virtual_time)
            group.virtual_time += ticket.tokens / ticket.weight
            self.remove(ticket)
            lane.activate(group)
            return ticket
        return None

    def remove(self, ticket: Ticket) -> None:
        """Takes a request out, for example because its caller left."""
        if not ticket.waiting:
            return
        ticket.waiting = False
        lane = self._lanes[ticket.lane]
        group = lane.groups[ticket.team]
        del group.tickets[ticket]
        group.tokens -= ticket.tokens
        lane.count -= 1
        self.count -= 1
        self.size_bytes -= ticket.size_bytes
        _decrease(self._team_count, ticket.team, 1)
        _decrease(self._team_bytes, ticket.team, ticket.size_bytes)
        keyed = self._by_key[ticket.key_hash]
        del keyed[ticket]
        if not keyed:
            del self._by_key[ticket.key_hash]
        if not lane.count:
            self._forget_lane(ticket.lane, lane)

    def unblock(self, team: str) -> set[str]:
        """Considers a team again; returns the lanes in which it waits."""
        names = self._blocked.pop(team, set())
        for name in names:
            lane = self._lanes.get(name)
            group = lane.groups.get(team) if lane else None
            if lane is not None and group is not None:
                group.blocked = False
                lane.activate(group)
        return names

    def expire(self, now: float) -> list[Ticket]:
        """Removes and returns the requests whose deadline has passed."""
        expired = []
        while (ticket := self._deadlines.first()) is not None:
            if ticket.deadline > now:
                break
            self.remove(ticket)
            expired.append(ticket)
        return expired

    def next_deadline(self) -> float | None:
        """Returns the earliest deadline of all waiting requests."""
        ticket = self._deadlines.first()
        return ticket.deadline if ticket else None

    def keys(self) -> list[str]:
        """Returns the hashes of the keys with waiting requests."""
        return [key for key in self._by_key if key]

    def withdraw(self, key_hash: str) -> list[Ticket]:
        """Removes and returns the requests of a withdrawn key."""
        removed = list(self._by_key.get(key_hash, ()))
        for ticket in removed:
            self.remove(ticket)
        return removed

    def refuse_lane(self, lane_name: str, before: float) -> list[Ticket]:
        """Removes and returns requests of a lane with a deadline ``before``."""
        removed = []
        lane = self._lanes.get(lane_name)
        for group in list(lane.groups.values()) if lane else ():
            while (ticket := group.deadlines.first()) is not None:
                if ticket.deadline >= before:
                    break
                self.remove(ticket)
                removed.append(ticket)
        return removed

    def drop_blocked(self, team: str) -> list[Ticket]:
        """Removes and returns the requests of a team that lacks tokens."""
        removed: list[Ticket] = []
        for name in self._blocked.get(team, set()).copy():
            group = self._lanes[name].groups[team]
            removed += group.tickets
        for ticket in removed:
            self.remove(ticket)
        return removed

    def holds(self, lane_name: str) -> bool:
        """Returns whether requests wait in a lane."""
        return lane_name in self._lanes

    def waiting(self, lane_name: str | None = None) -> Iterator[Waiting]:
        """Yields what waits in one lane, by default in all."""
        names = list(self._lanes) if lane_name is None else [lane_name]
        for name in names:
            lane = self._lanes.get(name)
            for group in lane.groups.values() if lane else ():
                first = group.deadlines.first()
                if first is not None:
                    yield Waiting(
                        lane=name,
                        team=group.team,
                        count=len(group.tickets),
                        earliest_deadline=first.deadline,
                    )

    def needed(self, team: str) -> int:
        """Returns the tokens that the blocked requests of a team need."""
        return sum(
            self._lanes[name].groups[team].tokens
            for name in self._blocked.get(team, ())
        )

    def first_needed(self, team: str) -> int:
        """Returns the tokens that one blocked request of a team needs."""
        return min(
            (
                next(iter(self._lanes[name].groups[team].tickets)).tokens
                for name in self._blocked.get(team, ())
            ),
            default=0,
        )

    def blocked_teams(self) -> list[str]:
        """Returns the teams that wait for tokens."""
        return list(self._blocked)

    def _forget_lane(self, name: str, lane: _Lane) -> None:
        # The virtual times of an idle lane have no meaning for later requests.
        for group in lane.groups.values():
            if group.blocked:
                self._unblock_lane(group.team, name)
        del self._lanes[name]

    def _unblock_lane(self, team: str, name: str) -> None:
        names = self._blocked.get(team)
        if names is not None:
            names.discard(name)
            if not names:
                del self._blocked[team]


def _decrease(counter: collections.Counter[str], key: str, by: int) -> None:
    counter[key] -= by
    if counter[key] <= 0:
        del counter[key]
