"""Brings waiting requests together with tokens and targets."""

import asyncio
from collections.abc import Callable, Collection
import dataclasses
import logging

from monsoonhinge.gateway import metrics
from monsoonhinge.gateway import queue
from monsoonhinge.gateway import refusal
from monsoonhinge.gateway import retry
from monsoonhinge.gateway import routing
from monsoonhinge.gateway import token_accounts
from monsoonhinge.gateway import verdicts

# A service without any target has this long to announce itself.
_NO_TARGET_WAIT_S = 5.0

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request that needs a target.

    Attributes:
        need: What it needs of the target.
        team: Team as which it runs.
        weight: Weight of the team.
        key_hash: Hash of the caller's key, or "" on an open route.
        tokens: Tokens charged before the run.
        size_bytes: Memory that it holds while it waits.
        deadline: Time by which it must be answered.
        recheck: Raises ``refusal.Refusal`` if the request may not run any
            more; called at dispatch.
        charge: Tokens taken for it, once charged.
        avoid: Targets that failed it.
        sent: Whether a byte of it may have left for a target.
    """

    need: routing.Need
    team: str
    weight: float
    key_hash: str
    tokens: int
    size_bytes: int
    deadline: float
    recheck: Callable[[], None]
    charge: token_accounts.Charge | None = None
    avoid: set[str] = dataclasses.field(default_factory=set)
    sent: bool = False

    @property
    def lane(self) -> str:
        """Name of the lane in which it waits."""
        return lane_name(self.need.name, self.need.adapter, self.need.service)


def lane_name(name: str, adapter: str = "", service: bool = False) -> str:
    """Returns the name of the lane for a model, an adapter or a service."""
    kind = "service" if service else "model"
    return f"{kind}:{name}:{adapter}"


@dataclasses.dataclass(slots=True)
class Slot:
    """The place of a request at a target."""

    run: routing.Run
    address: str


@dataclasses.dataclass(slots=True)
class _Waiter:
    job: Job
    future: asyncio.Future[Slot]


class Dispatcher:
    """Lets requests wait until they have tokens and a target.

    Attributes:
        queue: The waiting requests.
        router: Chooses targets.
        accounts: Token grants; None if budgets are not enforced.
        ejections: Failing targets.
        verdicts: What schedulers say about models that are not loaded.
        changed: Called with each lane whose demand changed.
        starved: Called with each team that spent tokens or lacks them.
    """

    def __init__(
        self,
        *,
        waiting: queue.Queue,
        router: routing.Router,
        accounts: token_accounts.TokenAccounts | None,
    ) -> None:
        self.queue = waiting
        self.router = router
        self.accounts = accounts
        self.ejections = retry.Ejections()
        self.verdicts = verdicts.Verdicts()
        self.changed: Callable[[str], None] = lambda lane: None
        self.starved: Callable[[str], None] = lambda team: None
        self._waiters: dict[queue.Ticket, _Waiter] = {}
        self._needs: dict[str, routing.Need] = {}
        self._lanes: dict[str, dict[str, None]] = {}
        self._asked: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    async def acquire(self, job: Job) -> Slot:
        """Waits for tokens and a target; the slot must be released.

        Raises:
            refusal.Refusal: The request cannot be served in time.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        lane = job.lane
        self._needs[lane] = dataclasses.replace(job.need, prefixes=())
        self._lanes.setdefault(job.need.name, {})[lane] = None
        deadline = job.deadline
        if not self.router.able(job.need):
            if job.need.service:
                deadline = min(deadline, now + _NO_TARGET_WAIT_S)
            hopeless = self.verdicts.refusal(lane, deadline, now)
            if hopeless is not None:
                raise hopeless
        ticket = queue.Ticket(
            lane=lane,
            team=job.team,
            key_hash=job.key_hash,
            tokens=job.tokens,
            size_bytes=job.size_bytes,
            deadline=deadline,
            weight=job.weight,
        )
        if not self.queue.push(ticket):
            raise refusal.Refusal(
                "too many requests wait",
                status=503,
                code="queue_full",
                retry_after_s=1,
                step="queue",
            )
        waiter = _Waiter(job, loop.create_future())
        self._waiters[ticket] = waiter
        self._pump(lane)
        if not waiter.future.done():
            self.changed(lane)
            self._arm()
        try:
            slot = await waiter.future
        except asyncio.CancelledError:
            self._abandon(ticket, waiter)
            raise
        metrics.WAIT_SECONDS.observe(loop.time() - now)
        return slot

    def release(self, slot: Slot) -> None:
        """Ends the run of a request."""
        now = asyncio.get_running_loop().time()
        self.router.end(slot.run, now)
        self.offered(slot.run.name)

    def settle(self, job: Job, used: int | None) -> None:
        """Settles what a request used; None keeps the whole charge."""
        if self.accounts is None or job.charge is None or job.charge.settled:
            return
        now = asyncio.get_running_loop().time()
        spent = job.charge.tokens if used is None else used
        self.accounts.settle(job.charge, spent, now)
        metrics.TOKENS.labels(job.team).inc(spent)
        self.funded(job.team)

    def offered(self, name: str) -> None:
        """Serves requests for a model or service that may have room now."""
        lanes = self._lanes.get(name)
        if not lanes:
            return
        for lane in list(lanes):
            if self.queue.holds(lane):
                # The order rotates so that no lane is always served first.
                del lanes[lane]
                lanes[lane] = None
                self._pump(lane)

    def funded(self, team: str) -> None:
        """Serves requests of a team that may have tokens now."""
        for lane in self.queue.unblock(team):
            self._pump(lane)

    def judged(self, lane: str) -> None:
        """Refuses requests that cannot be served in time by the verdicts."""
        need = self._needs.get(lane)
        if need is None or self.router.able(need):
            return
        now = asyncio.get_running_loop().time()
        ready_at = self.verdicts.ready_at(lane)
        for ticket in self.queue.refuse_lane(lane, before=ready_at):
            error = self.verdicts.refusal(lane, ticket.deadline, now)
            job = self._waiters[ticket].job
            self._refuse(ticket, error or self._overdue(job, set(), now))
        self._arm()

    def withdraw(self, key_hash: str, error: refusal.Refusal) -> None:
        """Refuses the waiting requests of a withdrawn key."""
        for ticket in self.queue.withdraw(key_hash):
            self._refuse(ticket, error)

    def refuse_starved(self, team: str, error: refusal.Refusal) -> None:
        """Refuses the requests of a team that wait for tokens."""
        for ticket in self.queue.drop_blocked(team):
            self._refuse(ticket, error)

    def _pump(self, lane: str) -> None:
        need = self._needs[lane]
        while self.queue.holds(lane) and self._room(need):
            ticket = self.queue.pop(lane, self._charge)
            # The queue counts a team's need once it has passed the team over.
            for team in self._asked:
                self.starved(team)
            self._asked.clear()
            if ticket is None:
                return
            self.changed(lane)
            self._dispatch(ticket)

    def _dispatch(self, ticket: queue.Ticket) -> None:
        waiter = self._waiters.pop(ticket)
        job = waiter.job
        if waiter.future.done():
            self.settle(job, 0)
            return
        try:
            job.recheck()
        except refusal.Refusal as error:
            self.settle(job, 0)
            waiter.future.set_exception(error)
            return
        target = self._pick(job.need, job.avoid) or self._pick(job.need, ())
        now = asyncio.get_running_loop().time()
        waiter.future.set_result(
            Slot(
                run=self.router.start(target, job.need.name, now),
                address=self.router.address(target),
            )
        )

    def _room(self, need: routing.Need) -> bool:
        now = asyncio.get_running_loop().time()
        return self.router.room(
            need, exclude=lambda names: self.ejections.excluded(names, now)
        )

    def _pick(self, need: routing.Need, avoid: Collection[str]) -> str:
        now = asyncio.get_running_loop().time()

        def exclude(names: Collection[str]) -> set[str]:
            return self.ejections.excluded(names, now).union(avoid)

        return self.router.pick(need, exclude=exclude)

    def _charge(self, ticket: queue.Ticket) -> bool:
        job = self._waiters[ticket].job
        if self.accounts is None or job.charge is not None:
            return True
        now = asyncio.get_running_loop().time()
        job.charge = self.accounts.charge(job.team, job.tokens, now)
        self._asked.add(job.team)
        return job.charge is not None

    def _abandon(self, ticket: queue.Ticket, waiter: _Waiter) -> None:
        self.queue.remove(ticket)
        self._waiters.pop(ticket, None)
        self.changed(ticket.lane)
        if waiter.future.cancelled() or not waiter.future.done():
            return
        if waiter.future.exception() is None:
            self.release(waiter.future.result())

    def _refuse(self, ticket: queue.Ticket, error: refusal.Refusal) -> None:
        waiter = self._waiters.pop(ticket, None)
        self.changed(ticket.lane)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_exception(error)

    def _arm(self) -> None:
        deadline = self.queue.next_deadline()
        if deadline is None or deadline >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer_at = deadline
        self._timer = loop.call_at(deadline, self._expire)

    def _expire(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        now = asyncio.get_running_loop().time()
        starved = set(self.queue.blocked_teams())
        for ticket in self.queue.expire(now):
            job = self._waiters[ticket].job
            self._refuse(ticket, self._overdue(job, starved, now))
        self._arm()

    def _overdue(
        self, job: Job, starved: set[str], now: float
    ) -> refusal.Refusal:
        able = self.router.able(job.need)
        if able and job.team in starved and self.accounts is not None:
            return rate_limited(
                self.accounts.account(job.team).retry_after_s(now)
            )
        if job.need.service and not able:
            return refusal.Refusal(
                f"no target runs service {job.need.name!r} at the moment",
                status=503,
                code="no_target",
                retry_after_s=1,
                step="route",
            )
        return refusal.Refusal(
            f"{job.need.name!r} had no capacity in time"
            if able
            else f"no replica of {job.need.name!r} became ready in time",
            status=504,
            code="deadline_exceeded",
            retry_after_s=1,
            step="wait for replica",
        )


def rate_limited(retry_after_s: float) -> refusal.Refusal:
    """Returns the refusal of a team that has no tokens left."""
    return refusal.Refusal(
        "the team's token rate is used up",
        status=429,
        code="rate_limited",
        retry_after_s=retry_after_s,
        step="grant",
    )
