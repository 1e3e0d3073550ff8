"""Dispatch of waiting requests once they have tokens and a target."""

import asyncio
from collections.abc import Callable, Collection
import dataclasses
import logging

from monsoonhinge.gateway import metrics
from monsoonhinge.gateway import pauses
from monsoonhinge.gateway import queue
from monsoonhinge.gateway import readiness
from monsoonhinge.gateway import refusal
from monsoonhinge.gateway import retry
from monsoonhinge.gateway import routing
from monsoonhinge.gateway import token_accounts
from monsoonhinge.gateway import wait_refusals

# A call waits at most this long for the first target that offers its service.
_NO_TARGET_WAIT_S = 5.0

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request that waits for a target or runs there.

    Attributes:
        requirements: What it requires of the target.
        team: Team that it is charged to.
        weight: Weight of the team.
        key_hash: Hash of the caller's key, or "" on an open route.
        tokens: Tokens charged before it is sent.
        size_bytes: Memory that it occupies while it waits.
        deadline: Time by which it must be answered, in seconds.
        check_authorization: Called at dispatch; raises ``refusal.Refusal`` if
            the request may no longer run.
        charge: Its charge, once the tokens were charged.
        avoided_targets: Targets at which an attempt failed.
        sent: Whether a byte of it may have been sent to a target.
    """

    requirements: routing.Requirements
    team: str
    weight: float
    key_hash: str
    tokens: int
    size_bytes: int
    deadline: float
    check_authorization: Callable[[], None]
    charge: token_accounts.Charge | None = None
    avoided_targets: set[str] = dataclasses.field(default_factory=set)
    sent: bool = False

    @property
    def resource(self) -> str:
        """Key of the resource that it waits for."""
        return resource_key(
            self.requirements.name,
            self.requirements.adapter,
            self.requirements.service,
        )


def resource_key(name: str, adapter: str = "", service: bool = False) -> str:
    """Returns the queue key of a model, an adapter or a service."""
    kind = "service" if service else "model"
    return f"{kind}:{name}:{adapter}"


@dataclasses.dataclass(slots=True)
class Slot:
    """A unit of a target's capacity, held by one request.

    Attributes:
        in_flight: The request in the router's accounting.
        address: Address of the target, ``host:port``.
    """

    in_flight: routing.InFlightRequest
    address: str


@dataclasses.dataclass(slots=True)
class _Waiter:
    job: Job
    future: asyncio.Future[Slot]


class Dispatcher:
    """Queues requests until they have tokens and a target.

    Attributes:
        queue: The waiting requests.
        router: Selects targets.
        accounts: Token accounts; None if budgets are not enforced.
        ejections: Targets that are avoided after failures.
        pauses: Targets that asked to get no requests for a while.
        readiness: Estimates of when models become ready.
        on_demand_changed: Called with the key of each resource for which the
            number of waiting requests changed.
        on_tokens_needed: Called with each team that spent tokens or has too
            few.
    """

    def __init__(
        self,
        *,
        waiting_queue: queue.Queue,
        router: routing.Router,
        accounts: token_accounts.TokenAccounts | None,
    ) -> None:
        self.queue = waiting_queue
        self.router = router
        self.accounts = accounts
        self.ejections = retry.Ejections()
        self.pauses = pauses.TargetPauses()
        self.readiness = readiness.ReadinessEstimates()
        self.on_demand_changed: Callable[[str], None] = lambda resource: None
        self.on_tokens_needed: Callable[[str], None] = lambda team: None
        self._waiters: dict[queue.QueuedRequest, _Waiter] = {}
        self._requirements: dict[str, routing.Requirements] = {}
        self._resources_by_name: dict[str, dict[str, None]] = {}
        self._teams_to_refill: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    async def acquire(self, job: Job) -> Slot:
        """Waits for tokens and a target; the caller must release the slot.

        Raises:
            refusal.Refusal: The request cannot be served in time.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        resource = job.resource
        self._requirements[resource] = dataclasses.replace(
            job.requirements, prefixes=()
        )
        self._resources_by_name.setdefault(job.requirements.name, {})[
            resource
        ] = None
        queue_deadline = job.deadline
        if not self.router.has_target(job.requirements):
            if job.requirements.service:
                queue_deadline = min(queue_deadline, now + _NO_TARGET_WAIT_S)
            late = self.readiness.refusal(resource, queue_deadline, now)
            if late is not None:
                raise late
        paused = self._pause_refusal(job, now)
        if paused is not None:
            raise paused
        entry = queue.QueuedRequest(
            resource=resource,
            team=job.team,
            key_hash=job.key_hash,
            tokens=job.tokens,
            size_bytes=job.size_bytes,
            queue_deadline=queue_deadline,
            weight=job.weight,
        )
        if not self.queue.push(entry):
            raise wait_refusals.queue_full()
        waiter = _Waiter(job, loop.create_future())
        self._waiters[entry] = waiter
        self._dispatch_ready(resource)
        if not waiter.future.done():
            self.on_demand_changed(resource)
            self._schedule_expiry()
        try:
            slot = await waiter.future
        except asyncio.CancelledError:
            self._cancel_wait(entry, waiter)
            raise
        metrics.WAIT_SECONDS.observe(loop.time() - now)
        return slot

    def release(self, slot: Slot) -> None:
        """Releases the slot of a request that has ended."""
        now = asyncio.get_running_loop().time()
        self.router.end(slot.in_flight, now)
        self.capacity_changed(slot.in_flight.name)

    def pause(self, target: str, name: str, pause_s: float) -> None:
        """Sends no requests to a target that asked for a pause.

        Args:
            target: The target.
            name: Model or service of the request that it answered.
            pause_s: Length of the pause in seconds.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + pause_s
        self.pauses.record(target, until)
        loop.call_at(until, self.capacity_changed, name)

    def settle(self, job: Job, used: int | None) -> None:
        """Settles the charge of a request.

        Args:
            job: The request; it is settled once.
            used: Tokens used, or None to keep the whole charge.
        """
        if self.accounts is None or job.charge is None or job.charge.settled:
            return
        now = asyncio.get_running_loop().time()
        spent = job.charge.tokens if used is None else used
        self.accounts.settle(job.charge, spent, now)
        metrics.TOKENS.labels(job.team).inc(spent)
        self.tokens_changed(job.team)

    def capacity_changed(self, name: str) -> None:
        """Dispatches requests for a model or service that gained capacity."""
        resources = self._resources_by_name.get(name)
        if not resources:
            return
        for resource in list(resources):
            if self.queue.has_waiting(resource):
                # The order rotates so that no resource is always first.
                del resources[resource]
                resources[resource] = None
                self._dispatch_ready(resource)

    def tokens_changed(self, team: str) -> None:
        """Dispatches requests of a team that received tokens."""
        for resource in self.queue.unblock(team):
            self._dispatch_ready(resource)

    def readiness_changed(self, resource: str) -> None:
        """Refuses requests that cannot be served in time by the estimate."""
        requirements = self._requirements.get(resource)
        if requirements is None or self.router.has_target(requirements):
            return
        now = asyncio.get_running_loop().time()
        ready_at = self.readiness.ready_at(resource)
        for entry in self.queue.remove_due_before(resource, before=ready_at):
            error = self.readiness.refusal(resource, entry.queue_deadline, now)
            job = self._waiters[entry].job
            self._refuse(entry, error or self._expiry_refusal(job, set(), now))
        self._schedule_expiry()

    def refuse_key(self, key_hash: str, error: refusal.Refusal) -> None:
        """Refuses the waiting requests of a withdrawn key."""
        for entry in self.queue.remove_key(key_hash):
            self._refuse(entry, error)

    def refuse_blocked(self, team: str, error: refusal.Refusal) -> None:
        """Refuses all requests of a team that wait for tokens."""
        for entry in self.queue.remove_blocked(team):
            self._refuse(entry, error)

    def _dispatch_ready(self, resource: str) -> None:
        requirements = self._requirements[resource]
        while self.queue.has_waiting(resource) and self._has_capacity(
            requirements
        ):
            entry = self.queue.pop(resource, self._charge)
            # Called after ``pop``, because the queue counts the tokens that a
            # team needs only once it has blocked the team.
            for team in self._teams_to_refill:
                self.on_tokens_needed(team)
            self._teams_to_refill.clear()
            if entry is None:
                return
            self.on_demand_changed(resource)
            self._dispatch(entry)

    def _dispatch(self, entry: queue.QueuedRequest) -> None:
        waiter = self._waiters.pop(entry)
        job = waiter.job
        if waiter.future.done():
            self.settle(job, 0)
            return
        try:
            job.check_authorization()
        except refusal.Refusal as error:
            self.settle(job, 0)
            waiter.future.set_exception(error)
            return
        # The limit may have changed while the request waited. The capacity was
        # checked with the one of the latest request.
        latest = self._requirements[job.resource]
        requirements = dataclasses.replace(
            job.requirements, max_concurrency=latest.max_concurrency
        )
        target = self._choose_target(
            requirements, job.avoided_targets
        ) or self._choose_target(requirements, ())
        now = asyncio.get_running_loop().time()
        waiter.future.set_result(
            Slot(
                in_flight=self.router.start(target, job.requirements.name, now),
                address=self.router.address(target),
            )
        )

    def _has_capacity(self, requirements: routing.Requirements) -> bool:
        return self.router.has_capacity(requirements, exclude=self._excluded)

    def _choose_target(
        self,
        requirements: routing.Requirements,
        avoided_targets: Collection[str],
    ) -> str:
        return self.router.choose(
            requirements,
            exclude=lambda names: self._excluded(names).union(avoided_targets),
        )

    def _excluded(self, names: Collection[str]) -> set[str]:
        """Returns the targets that must get no requests now."""
        now = asyncio.get_running_loop().time()
        paused = self.pauses.paused(names, now)
        sound = [name for name in names if name not in paused]
        return paused | self.ejections.excluded(sound, now)

    def _pause_refusal(self, job: Job, now: float) -> refusal.Refusal | None:
        """Returns the refusal of a request whose targets all pause too long."""
        ends_at = self.pauses.earliest_end(
            self.router.targets_of(job.requirements)
        )
        if ends_at < job.deadline:
            return None
        return wait_refusals.paused(ends_at - now)

    def _charge(self, entry: queue.QueuedRequest) -> bool:
        job = self._waiters[entry].job
        if self.accounts is None or job.charge is not None:
            return True
        now = asyncio.get_running_loop().time()
        job.charge = self.accounts.charge(job.team, job.tokens, now)
        self._teams_to_refill.add(job.team)
        return job.charge is not None

    def _cancel_wait(self, entry: queue.QueuedRequest, waiter: _Waiter) -> None:
        self.queue.remove(entry)
        self._waiters.pop(entry, None)
        self.on_demand_changed(entry.resource)
        if waiter.future.cancelled() or not waiter.future.done():
            return
        if waiter.future.exception() is None:
            self.release(waiter.future.result())

    def _refuse(
        self, entry: queue.QueuedRequest, error: refusal.Refusal
    ) -> None:
        waiter = self._waiters.pop(entry, None)
        self.on_demand_changed(entry.resource)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_exception(error)

    def _schedule_expiry(self) -> None:
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
        blocked = set(self.queue.blocked_teams())
        for entry in self.queue.expire(now):
            job = self._waiters[entry].job
            self._refuse(entry, self._expiry_refusal(job, blocked, now))
        self._schedule_expiry()

    def _expiry_refusal(
        self, job: Job, blocked: set[str], now: float
    ) -> refusal.Refusal:
        name = job.requirements.name
        has_target = self.router.has_target(job.requirements)
        if has_target and job.team in blocked and self.accounts is not None:
            return wait_refusals.rate_limited(
                self.accounts.account(job.team).retry_after_s(now)
            )
        if job.requirements.service and not has_target:
            return wait_refusals.no_target(name)
        return wait_refusals.not_in_time(name, has_target=has_target)
