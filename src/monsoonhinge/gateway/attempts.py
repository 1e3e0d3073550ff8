"""Attempts of a request at targets, with retries."""

import asyncio
import dataclasses
import logging
import random

from monsoonhinge.gateway import demand
from monsoonhinge.gateway import dispatch
from monsoonhinge.gateway import forward
from monsoonhinge.gateway import metrics
from monsoonhinge.gateway import refusal
from monsoonhinge.gateway import retry

# An engine that answers so has not run the request; with 404 it has unloaded
# the model since its last announcement. A plain service may have run a part of
# the request, so its answer goes to the caller.
_REFUSED_STATUSES = frozenset({404, 429, 503})

_LOG = logging.getLogger(__name__)


class Attempt:
    """An attempt whose answer has begun; it must be closed.

    Attributes:
        answer: The answer.
        job: The request.
    """

    def __init__(
        self,
        *,
        attempts: "Attempts",
        job: dispatch.Job,
        slot: dispatch.Slot,
        answer: forward.HttpAnswer,
    ) -> None:
        self.answer = answer
        self.job = job
        self._attempts = attempts
        self._slot = slot

    def close(self) -> None:
        """Frees the target; cancels the run unless the answer is complete."""
        self.answer.close()
        self._attempts.release(self.job, self._slot)

    def failed(self) -> None:
        """Notes that the target broke off the answer."""
        self._attempts.eject(self._slot, "broken_answer")


class Attempts:
    """Sends requests to targets until one answers.

    Attributes:
        dispatcher: Chooses the target and charges tokens.
        forwarder: Sends to targets.
        budget: Retry budget of this gateway.
        rng: Source of the jitter.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        forwarder: forward.Forwarder,
        reporter: demand.Reporter,
        rng: random.Random,
    ) -> None:
        self.dispatcher = dispatcher
        self.forwarder = forwarder
        self.budget = retry.Budget()
        self.rng = rng
        self._reporter = reporter

    async def send(
        self,
        job: dispatch.Job,
        request: forward.TargetRequest,
        *,
        repeatable: bool = True,
        answer_timeout_s: float | None = None,
    ) -> Attempt:
        """Returns the attempt whose answer has begun.

        Args:
            job: What the request needs.
            request: The request; its address is filled in here.
            repeatable: Whether it may run twice.
            answer_timeout_s: Time for the answer once it was sent; by default
                what is left until the deadline.

        Raises:
            refusal.Refusal: No attempt succeeded.
        """
        try:
            return await self._send(job, request, repeatable, answer_timeout_s)
        except BaseException as error:
            if not job.sent:
                self.dispatcher.settle(job, 0)
            elif isinstance(error, refusal.Refusal) and error.not_run is True:
                # An earlier attempt may have run.
                error.not_run = "unknown"
            raise

    async def _send(
        self,
        job: dispatch.Job,
        request: forward.TargetRequest,
        repeatable: bool,
        answer_timeout_s: float | None,
    ) -> Attempt:
        self.budget.request()
        number = 0
        while True:
            slot = await self.dispatcher.acquire(job)
            try:
                outcome = await self._try(
                    job, slot, request, repeatable, answer_timeout_s
                )
            except BaseException:
                # The caller left or the gateway ended the request.
                self.release(job, slot)
                raise
            if isinstance(outcome, Attempt):
                return outcome
            failure, error = outcome
            self.release(job, slot)
            job.avoided_targets.add(slot.in_flight.target)
            if not retry.allowed(failure) or not self._affordable(job):
                raise error
            metrics.RETRIES.inc()
            await asyncio.sleep(retry.backoff_s(number, self.rng))
            number += 1

    def release(self, job: dispatch.Job, slot: dispatch.Slot) -> None:
        """Frees the place of a request at its target."""
        self._reporter.ended(job)
        self.dispatcher.release(slot)

    def eject(self, slot: dispatch.Slot, kind: str) -> None:
        """Notes a failure of a target."""
        metrics.FAILED_ATTEMPTS.labels(kind).inc()
        now = asyncio.get_running_loop().time()
        self.dispatcher.ejections.failed(slot.in_flight.target, now)

    def _affordable(self, job: dispatch.Job) -> bool:
        now = asyncio.get_running_loop().time()
        return now < job.deadline and self.budget.take()

    async def _try(
        self,
        job: dispatch.Job,
        slot: dispatch.Slot,
        request: forward.TargetRequest,
        repeatable: bool,
        answer_timeout_s: float | None,
    ) -> Attempt | tuple[retry.Failure, refusal.Refusal]:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self._reporter.started(job)
        sent_before, job.sent = job.sent, True
        try:
            answer = await self.forwarder.send(
                dataclasses.replace(
                    request,
                    address=slot.address,
                    timeout_s=answer_timeout_s
                    or max(0.001, job.deadline - sent_at),
                )
            )
        except forward.NotSent as error:
            job.sent = sent_before
            self.eject(slot, "unreachable")
            failure = retry.Failure(repeatable=repeatable, sent=False)
            return failure, unreachable(error)
        except forward.AnswerLost as error:
            if not error.timed_out:
                self.eject(slot, "answer_lost")
            failure = retry.Failure(repeatable=repeatable, sent=True)
            return failure, lost(error)
        if answer.status in _REFUSED_STATUSES and not job.requirements.service:
            answer.close()
            job.sent = sent_before
            metrics.FAILED_ATTEMPTS.labels("refused").inc()
            failure = retry.Failure(
                repeatable=repeatable, sent=True, refused=True
            )
            return failure, refusal.Refusal(
                "the engine refused the request before running it",
                status=503,
                code="engine_busy",
                retry_after_s=1,
                step="forward",
                peer=slot.address,
            )
        metrics.FIRST_BYTE_SECONDS.observe(loop.time() - sent_at)
        self.dispatcher.ejections.succeeded(slot.in_flight.target, loop.time())
        return Attempt(attempts=self, job=job, slot=slot, answer=answer)


def unreachable(error: forward.NotSent) -> refusal.Refusal:
    """Returns the refusal of a request of which nothing was sent."""
    return refusal.Refusal(
        "the target cannot be reached",
        status=503,
        code="target_unreachable",
        retry_after_s=1,
        step=error.step,
        peer=error.peer,
    )


def lost(
    error: forward.AnswerLost, *, started: bool = False
) -> refusal.Refusal:
    """Returns the refusal of a request whose answer was lost.

    Args:
        error: What happened.
        started: Whether bytes of the right answer had arrived.
    """
    if error.timed_out:
        return refusal.Refusal(
            "the answer was not complete before the deadline",
            status=504,
            code="deadline_exceeded",
            not_run=False if started else "unknown",
            step=error.step,
            peer=error.peer,
        )
    return refusal.Refusal(
        "the target's answer was lost",
        status=503,
        code="answer_lost",
        not_run=False if started else "unknown",
        step=error.step,
        peer=error.peer,
    )
