"""One caller's request from admission to the end of its answer."""

import asyncio
import dataclasses

from aiohttp import web

from monsoonhinge.gateway import forward
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import outlook
from monsoonhinge.ingress import patience
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import relay
from monsoonhinge.ingress import shared
from monsoonhinge.ingress import targets as target_table
from monsoonhinge.ingress import ticket
from monsoonhinge.ingress import upstream
from monsoonhinge.ingress import waiting
from monsoonhinge.runtime import events

# Attempts that no target ran, beside those that count as attempts.
_MAX_REJECTED = 8

_RETRY_AFTER_S = 0.3


@dataclasses.dataclass(slots=True)
class _Sent:
    """An attempt whose answer has begun."""

    target: target_table.Target
    answer: upstream.Answer


class Exchange:
    """Runs one admitted request.

    Attributes:
        call: The request.
        admitted: Route, team and service.
        limits: Until when it may wait, run and be on time.
        ticket: Tokens that it is charged.
        ran: Attempts that a target may have run.
        rejected: Attempts that a target turned away.
        relay: The answer to the caller.
    """

    def __init__(
        self,
        *,
        services: shared.Shared,
        closing: bool,
        request: web.BaseRequest,
        call: dialect.Call,
        admitted: admission.Admitted,
        limits: patience.Limits,
        charged: ticket.Ticket,
    ) -> None:
        self.call = call
        self.admitted = admitted
        self.limits = limits
        self.ticket = charged
        self.ran = 0
        self.rejected = 0
        self.relay = relay.Relay(
            request=request,
            wire=services.dialect,
            closing=closing,
            last_event_id=call.last_event_id,
        )
        self._services = services
        self._avoid: set[str] = set()
        self._loop = asyncio.get_running_loop()
        self._need = admitted.need(call)

    async def run(self) -> web.StreamResponse:
        """Returns the response once it is complete.

        Raises:
            refusal.Refusal: No target answered, and nothing was sent.
            relay.BrokenOff: The answer broke off after a part of it was sent.
        """
        services = self._services
        services.retries.request(self._need.service, self._loop.time())
        services.waiting.arrive(self._need)
        while True:
            try:
                sent = await self._attempt()
            except refusal.Refusal as error:
                if self.relay.response is not None:
                    raise relay.BrokenOff from error
                raise (error.after_run() if self.ran else error) from error
            try:
                response = await self._relay(sent)
            except forward.AnswerLost as error:
                self._failed(sent.target, "broke_off", error)
                if not self._may_repeat():
                    if self.relay.response is not None:
                        raise relay.BrokenOff from error
                    raise self._lost(error) from error
                events.emit(
                    events.RESUMED,
                    request_id=self.call.request_id,
                    target=sent.target.name,
                    last_event_id=self.relay.last_event_id,
                    error=str(error),
                )
                continue
            finally:
                sent.answer.close()
                self._release(sent.target)
            if response is not None:
                return response

    async def _attempt(self) -> _Sent:
        """Returns the first attempt that a target ran.

        Raises:
            refusal.Refusal: No target did.
        """
        while True:
            target = await self._target()
            self._check_key()
            sent_at = self._loop.time()
            self._claim(target)
            try:
                answer = await self._send(target, sent_at)
            except forward.NotSent as error:
                self._release(target)
                now = self._loop.time()
                target.unreachable_until = now + target_table.UNREACHABLE_S
                self._services.wake_at(target.unreachable_until)
                self._failed(target, "unreachable", error)
                self._reject(error.peer)
                continue
            except forward.AnswerLost as error:
                self._release(target)
                self.ran += 1
                may_repeat = self._may_repeat()
                if may_repeat or not error.timed_out:
                    self._failed(target, "lost", error)
                if not may_repeat:
                    raise self._lost(error) from error
                continue
            except BaseException:
                self._release(target)
                raise
            execution = self._services.dialect.execution(
                self.call,
                target=target.name,
                status=answer.status,
                headers=answer.headers,
            )
            self._log_attempt(target, sent_at, answer.status, execution.value)
            match execution:
                case dialect.Execution.RAN:
                    self.ran += 1
                    target.answered(self._loop.time() - sent_at)
                    return _Sent(target, answer)
                case dialect.Execution.UNKNOWN:
                    answer.drop()
                    self._release(target)
                    self.ran += 1
                    lost = forward.AnswerLost(
                        "the answer is not that of the target",
                        step="forward",
                        peer=answer.peer,
                    )
                    self._failed(target, "garbled", lost)
                    if not self._may_repeat():
                        raise self._lost(lost)
                case _:
                    answer.close()
                    self._release(target)
                    self._turned_away(target, execution)
                    self._reject(answer.peer)

    async def _target(self) -> target_table.Target:
        """Returns a target for which tokens are held."""
        while True:
            target = self._services.balancer.choose(
                self._need, avoid=self._avoid, now=self._loop.time()
            )
            if target is None:
                if not self.ran:
                    self.ticket.give_back()
                target = await self._wait_for_target()
            if self.ticket.held:
                return target
            await self.ticket.take()

    async def _wait_for_target(self) -> target_table.Target:
        services = self._services
        now = self._loop.time()
        give_up_at = self.limits.give_up_at
        if now >= give_up_at:
            raise self._not_in_time()
        waiter = waiting.Waiter(
            need=self._need,
            priority=self.admitted.priority,
            timely_until=self.limits.timely_until,
            arrived_at=now,
            gives_up_at=give_up_at,
            avoid=self._avoid,
            future=self._loop.create_future(),
        )
        services.waiting.add(waiter)
        services.demand_changed()
        try:
            async with asyncio.timeout_at(give_up_at):
                return await waiter.future
        except TimeoutError:
            raise self._not_in_time() from None
        finally:
            services.waiting.remove(waiter)
            services.demand_changed()

    async def _send(
        self, target: target_table.Target, now: float
    ) -> upstream.Answer:
        left_s = self.limits.deadline - now
        if left_s <= 0:
            raise self._not_in_time()
        timeout_s = left_s
        if self._repeats_left():
            timeout_s = min(left_s, self.limits.attempt_s)
        team = self.admitted.team
        headers = self._services.dialect.headers(
            self.call,
            target=target.name,
            team=team.name if team is not None else "",
            time_left_ms=max(1, int(left_s * 1000)),
            rank=patience.rank(self.admitted.priority)
            if self._need.model
            else None,
            last_event_id=self.relay.last_event_id,
        )
        address = target.registration.address
        try:
            async with asyncio.timeout(timeout_s):
                return await self._services.upstream.open(
                    method=self.call.method,
                    address=address,
                    path=self.call.target_path,
                    headers=headers,
                    body=self.call.body,
                    timeout_s=left_s,
                )
        except TimeoutError as error:
            raise forward.AnswerLost(
                "no answer in time",
                step="forward",
                peer=address,
                timed_out=True,
            ) from error

    async def _relay(self, sent: _Sent) -> web.StreamResponse | None:
        """Passes an answer on; None to try another target.

        Raises:
            forward.AnswerLost: It broke off.
        """
        answer = sent.answer
        streaming = self.admitted.route.execution == "streaming"
        response: web.StreamResponse
        if streaming and answer.status == 200:
            response = await self.relay.pass_stream(
                answer,
                deadline=self.limits.deadline,
                gap_s=self.limits.gap_s if self._repeats_left() else None,
            )
        else:
            response = await self.relay.pass_whole(answer)
            if answer.status >= 500 and self._may_repeat():
                self._avoid.add(sent.target.name)
                return None
        self._services.balancer.ejections.record_success(
            sent.target.name, self._loop.time()
        )
        return response

    def _claim(self, target: target_table.Target) -> None:
        use = (self._need.model, self._need.adapter)
        target.running[use] = target.running.get(use, 0) + 1
        if self._need.model:
            self._services.demand_changed()

    def _release(self, target: target_table.Target) -> None:
        use = (self._need.model, self._need.adapter)
        target.running[use] = max(0, target.running.get(use, 0) - 1)
        if self._need.model:
            self._services.demand_changed()

    def _check_key(self) -> None:
        if not self._services.still_valid(self.admitted):
            raise refusal.Refusal(
                refusal.Reason.STALE_CONFIGURATION,
                retry_after_s=_RETRY_AFTER_S,
                step="dispatch",
            )

    def _repeats_left(self) -> bool:
        return (
            self.admitted.repeatable
            and self.ran < self.admitted.route.max_attempts
        )

    def _may_repeat(self) -> bool:
        now = self._loop.time()
        return (
            self._repeats_left()
            and now < self.limits.deadline
            and self._services.retries.take(self._need.service, now)
        )

    def _reject(self, peer: str) -> None:
        """Counts an attempt that was not run.

        Raises:
            refusal.Refusal: No further one is allowed.
        """
        self.rejected += 1
        now = self._loop.time()
        if self.rejected > _MAX_REJECTED or not self._services.retries.take(
            self._need.service, now
        ):
            raise refusal.Refusal(
                refusal.Reason.TARGETS_FULL,
                retry_after_s=_RETRY_AFTER_S,
                step="forward",
                peer=peer,
            )

    def _turned_away(
        self, target: target_table.Target, execution: dialect.Execution
    ) -> None:
        now = self._loop.time()
        if self._need.model:
            target.deny(self._need.model, self._need.adapter, now)
            self._services.wake_at(now + target_table.DENIED_S)
        else:
            self._avoid.add(target.name)
        if execution is dialect.Execution.WRONG_INSTANCE:
            self._avoid.add(target.name)

    def _failed(
        self, target: target_table.Target, kind: str, error: Exception
    ) -> None:
        now = self._loop.time()
        self._avoid.add(target.name)
        self._services.balancer.ejections.record_failure(target.name, now)
        events.emit(
            events.EJECTED,
            request_id=self.call.request_id,
            target=target.name,
            kind=kind,
            error=str(error),
        )

    def _lost(self, error: forward.AnswerLost) -> refusal.Refusal:
        reason = refusal.Reason.ANSWER_LOST
        if error.timed_out and self._loop.time() >= self.limits.deadline - 0.05:
            reason = refusal.Reason.TIMEOUT
        return refusal.Refusal(reason, step=error.step, peer=error.peer)

    def _not_in_time(self) -> refusal.Refusal:
        return outlook.not_in_time(
            self._need,
            engine=self.admitted.service.engine,
            targets=self._services.balancer.targets,
            now=self._loop.time(),
        )

    def _log_attempt(
        self,
        target: target_table.Target,
        sent_at: float,
        status: int,
        outcome: str,
    ) -> None:
        events.emit(
            events.ATTEMPT,
            request_id=self.call.request_id,
            target=target.name,
            model=self.call.model,
            running=target.total(),
            running_elsewhere=target.running_elsewhere,
            fencing=self._services.balancer.targets.fencing,
            config=self.admitted.version,
            waited_s=round(sent_at - self.limits.arrived_at, 4),
            head_s=round(self._loop.time() - sent_at, 4),
            status=status,
            outcome=outcome,
        )
