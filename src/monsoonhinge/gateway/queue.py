"""Weighted fair queueing of requests between teams.

Requests wait for a resource: a model, an adapter or a service. For each
resource, a team has a virtual time that advances by ``tokens / weight`` with
each request served; the team with the lowest virtual time is served next. A
request that is removed without being served does not advance it.
"""

import collections
from collections.abc import Callable, Iterator
import dataclasses
import heapq
import itertools

# A heap is rebuilt once stale entries outnumber the live ones; the offset
# prevents small heaps from being rebuilt at every step.
_COMPACTION_OFFSET = 64


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A waiting request.

    Attributes:
        resource: Key of the resource that it waits for.
        team: Team that it is charged to.
        key_hash: Hash of the caller's key, or "" on an open route.
        tokens: Tokens that it is charged.
        size_bytes: Memory that it occupies while it waits.
        queue_deadline: When it stops waiting and is refused, in seconds.
        weight: Weight of the team.
        queued: Whether it is still in the queue.
    """

    resource: str
    team: str
    key_hash: str
    tokens: int
    size_bytes: int
    queue_deadline: float
    weight: float = 1.0
    queued: bool = False


class _Deadlines:
    """Entries by deadline; removed entries are dropped lazily."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, QueuedRequest]] = []
        self._numbers = itertools.count()

    def add(self, entry: QueuedRequest, live_count: int) -> None:
        if len(self._heap) > 2 * live_count + _COMPACTION_OFFSET:
            self._heap = [item for item in self._heap if item[2].queued]
            heapq.heapify(self._heap)
        heapq.heappush(
            self._heap, (entry.queue_deadline, next(self._numbers), entry)
        )

    def first(self) -> QueuedRequest | None:
        while self._heap and not self._heap[0][2].queued:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None


class _TeamQueue:
    """Requests of one team for one resource, in order of arrival."""

    def __init__(self, team: str) -> None:
        self.team = team
        self.virtual_time = 0.0
        self.blocked = False
        self.in_heap = False
        self.tokens = 0
        self.entries: collections.OrderedDict[QueuedRequest, None] = (
            collections.OrderedDict()
        )
        self.deadlines = _Deadlines()


class _Subqueue:
    """Requests for one resource, by team."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.count = 0
        self.by_team: dict[str, _TeamQueue] = {}
        self._heap: list[tuple[float, int, _TeamQueue]] = []
        self._numbers = itertools.count()

    def activate(self, team_queue: _TeamQueue) -> None:
        """Schedules a team, if it has requests that can be served."""
        if team_queue.in_heap or team_queue.blocked or not team_queue.entries:
            return
        # A team gets no credit for the time in which it was idle.
        team_queue.virtual_time = max(
            team_queue.virtual_time, self.virtual_time
        )
        team_queue.in_heap = True
        heapq.heappush(
            self._heap,
            (team_queue.virtual_time, next(self._numbers), team_queue),
        )

    def pop_team(self) -> _TeamQueue | None:
        """Removes and returns the team to serve next."""
        while self._heap:
            team_queue = heapq.heappop(self._heap)[2]
            team_queue.in_heap = False
            if team_queue.entries and not team_queue.blocked:
                return team_queue
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCount:
    """Number of requests of one team that wait for one resource."""

    resource: str
    team: str
    count: int
    earliest_deadline: float


class Queue:
    """Bounded queue of waiting requests.

    A team may occupy at most as many places, and as many bytes, as are free
    in the whole queue. One team alone therefore fills at most half of it, and
    k teams together leave 1/(k+1) for others.

    Attributes:
        max_count: Largest number of waiting requests.
        max_bytes: Largest total size of the waiting requests.
        count: Number of waiting requests.
        size_bytes: Total size of the waiting requests.
    """

    def __init__(self, *, max_count: int, max_bytes: int) -> None:
        self.max_count = max_count
        self.max_bytes = max_bytes
        self.count = 0
        self.size_bytes = 0
        self._subqueues: dict[str, _Subqueue] = {}
        self._team_count: collections.Counter[str] = collections.Counter()
        self._team_bytes: collections.Counter[str] = collections.Counter()
        self._by_key: dict[str, dict[QueuedRequest, None]] = {}
        self._blocked: dict[str, set[str]] = {}
        self._deadlines = _Deadlines()

    def push(self, entry: QueuedRequest) -> bool:
        """Adds a request; returns False if its team has no room left."""
        count_left = self.max_count - self.count
        bytes_left = self.max_bytes - self.size_bytes - entry.size_bytes
        if (
            self._team_count[entry.team] >= count_left
            or self._team_bytes[entry.team] + entry.size_bytes > bytes_left
        ):
            return False
        subqueue = self._subqueues.setdefault(entry.resource, _Subqueue())
        team_queue = subqueue.by_team.get(entry.team)
        if team_queue is None:
            team_queue = subqueue.by_team[entry.team] = _TeamQueue(entry.team)
        entry.queued = True
        team_queue.entries[entry] = None
        team_queue.tokens += entry.tokens
        subqueue.count += 1
        self.count += 1
        self.size_bytes += entry.size_bytes
        self._team_count[entry.team] += 1
        self._team_bytes[entry.team] += entry.size_bytes
        self._by_key.setdefault(entry.key_hash, {})[entry] = None
        self._deadlines.add(entry, self.count)
        team_queue.deadlines.add(entry, len(team_queue.entries))
        subqueue.activate(team_queue)
        return True

    def pop(
        self, resource: str, charge: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Removes and returns the next request to serve, or None.

        Args:
            resource: Resource that can serve a request now.
            charge: Charges the request to its team. If it returns False, the
                team is blocked for this resource until ``unblock``.
        """
        subqueue = self._subqueues.get(resource)
        if subqueue is None:
            return None
        while (team_queue := subqueue.pop_team()) is not None:
            entry = next(iter(team_queue.entries))
            if not charge(entry):
                team_queue.blocked = True
                self._blocked.setdefault(team_queue.team, set()).add(resource)
                continue
            subqueue.virtual_time = max(
                subqueue.virtual_time, team_queue.virtual_time
            )
            team_queue.virtual_time += entry.tokens / entry.weight
            self.remove(entry)
            subqueue.activate(team_queue)
            return entry
        return None

    def remove(self, entry: QueuedRequest) -> None:
        """Removes a request if it is still queued."""
        if not entry.queued:
            return
        entry.queued = False
        subqueue = self._subqueues[entry.resource]
        team_queue = subqueue.by_team[entry.team]
        del team_queue.entries[entry]
        team_queue.tokens -= entry.tokens
        subqueue.count -= 1
        self.count -= 1
        self.size_bytes -= entry.size_bytes
        _decrease(self._team_count, entry.team, 1)
        _decrease(self._team_bytes, entry.team, entry.size_bytes)
        entries_of_key = self._by_key[entry.key_hash]
        del entries_of_key[entry]
        if not entries_of_key:
            del self._by_key[entry.key_hash]
        if not subqueue.count:
            self._remove_subqueue(entry.resource, subqueue)

    def unblock(self, team: str) -> set[str]:
        """Unblocks a team; returns the resources for which it was blocked."""
        resources = self._blocked.pop(team, set())
        for resource in resources:
            subqueue = self._subqueues.get(resource)
            team_queue = subqueue.by_team.get(team) if subqueue else None
            if subqueue is not None and team_queue is not None:
                team_queue.blocked = False
                subqueue.activate(team_queue)
        return resources

    def expire(self, now: float) -> list[QueuedRequest]:
        """Removes and returns the requests whose deadline has passed."""
        expired = []
        while (entry := self._deadlines.first()) is not None:
            if entry.queue_deadline > now:
                break
            self.remove(entry)
            expired.append(entry)
        return expired

    def next_deadline(self) -> float | None:
        """Returns the earliest deadline of all waiting requests."""
        entry = self._deadlines.first()
        return entry.queue_deadline if entry else None

    def key_hashes(self) -> list[str]:
        """Returns the hashes of the keys with waiting requests."""
        return [key for key in self._by_key if key]

    def remove_key(self, key_hash: str) -> list[QueuedRequest]:
        """Removes and returns the requests of a withdrawn key."""
        removed = list(self._by_key.get(key_hash, ()))
        for entry in removed:
            self.remove(entry)
        return removed

    def remove_due_before(
        self, resource: str, before: float
    ) -> list[QueuedRequest]:
        """Removes and returns the requests whose deadline is too early.

        Args:
            resource: Resource for which the requests wait.
            before: Requests with an earlier deadline are removed.
        """
        removed = []
        subqueue = self._subqueues.get(resource)
        for team_queue in list(subqueue.by_team.values()) if subqueue else ():
            while (entry := team_queue.deadlines.first()) is not None:
                if entry.queue_deadline >= before:
                    break
                self.remove(entry)
                removed.append(entry)
        return removed

    def remove_blocked(self, team: str) -> list[QueuedRequest]:
        """Removes and returns the requests of a team that wait for tokens."""
        removed: list[QueuedRequest] = []
        for resource in self._blocked.get(team, set()).copy():
            team_queue = self._subqueues[resource].by_team[team]
            removed += team_queue.entries
        for entry in removed:
            self.remove(entry)
        return removed

    def has_waiting(self, resource: str) -> bool:
        """Returns whether any request waits for a resource."""
        return resource in self._subqueues

    def waiting_counts(
        self, resource: str | None = None
    ) -> Iterator[WaitingCount]:
        """Yields the waiting requests by team for one resource, or for all."""
        names = list(self._subqueues) if resource is None else [resource]
        for name in names:
            subqueue = self._subqueues.get(name)
            for team_queue in subqueue.by_team.values() if subqueue else ():
                first = team_queue.deadlines.first()
                if first is not None:
                    yield WaitingCount(
                        resource=name,
                        team=team_queue.team,
                        count=len(team_queue.entries),
                        earliest_deadline=first.queue_deadline,
                    )

    def blocked_tokens(self, team: str) -> int:
        """Returns the tokens that the blocked requests of a team need."""
        return sum(
            self._subqueues[resource].by_team[team].tokens
            for resource in self._blocked.get(team, ())
        )

    def min_blocked_tokens(self, team: str) -> int:
        """Returns the fewest tokens with which a blocked team can proceed."""
        return min(
            (
                next(
                    iter(self._subqueues[resource].by_team[team].entries)
                ).tokens
                for resource in self._blocked.get(team, ())
            ),
            default=0,
        )

    def blocked_teams(self) -> list[str]:
        """Returns the teams that wait for tokens."""
        return list(self._blocked)

    def _remove_subqueue(self, resource: str, subqueue: _Subqueue) -> None:
        # The virtual times of an idle resource mean nothing to later requests.
        for team_queue in subqueue.by_team.values():
            if team_queue.blocked:
                self._clear_blocked(team_queue.team, resource)
        del self._subqueues[resource]

    def _clear_blocked(self, team: str, resource: str) -> None:
        resources = self._blocked.get(team)
        if resources is not None:
            resources.discard(resource)
            if not resources:
                del self._blocked[team]


def _decrease(counter: collections.Counter[str], key: str, by: int) -> None:
    counter[key] -= by
    if counter[key] <= 0:
        del counter[key]
