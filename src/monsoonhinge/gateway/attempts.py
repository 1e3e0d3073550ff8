"""Attempts of a request at targets, with retries."""

import asyncio
import dataclasses
import logging
import math
import random

from monsoonhinge.gateway import demand
from monsoonhinge.gateway import dispatch
from monsoonhinge.gateway import forward
from monsoonhinge.gateway import metrics
from monsoonhinge.gateway import refusal
from monsoonhinge.gateway import retry
from monsoonhinge.targets import retry_after

# With one of these statuses an engine has not run the request; with 404 it has
# unloaded the model since its last announcement. A plain service may have run
# a part of the request, so its response is passed to the caller.
_NOT_RUN_STATUSES = frozenset({404, 429, 503})

_LOG = logging.getLogger(__name__)


class Attempt:
    """An attempt whose response headers have arrived; it must be closed.

    Attributes:
        response: Response of the target; its body is still to be read.
        job: The request.
    """

    def __init__(
        self,
        *,
        sender: "RetryingSender",
        job: dispatch.Job,
        slot: dispatch.Slot,
        response: forward.TargetResponse,
    ) -> None:
        self.response = response
        self.job = job
        self._sender = sender
        self._slot = slot

    def close(self) -> None:
        """Releases the slot; cancels the request unless it is complete."""
        self.response.close()
        self._sender.release(self.job, self._slot)

    def report_broken_response(self) -> None:
        """Records that the response ended early as a failure of the target."""
        self._sender.record_failure(self._slot, "broken_answer")


class RetryingSender:
    """Sends requests to targets, with retries at other targets.

    Attributes:
        dispatcher: Selects the targets and charges the tokens.
        target_client: Sends the requests.
        retry_budget: Retry budget of this gateway.
        rng: Source of the backoff jitter.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        target_client: forward.TargetClient,
        reporter: demand.DemandReporter,
        rng: random.Random,
    ) -> None:
        self.dispatcher = dispatcher
        self.target_client = target_client
        self.retry_budget = retry.RetryBudget()
        self.rng = rng
        self._reporter = reporter

    async def send(
        self,
        job: dispatch.Job,
        request: forward.TargetRequest,
        *,
        retryable: bool = True,
        response_timeout_s: float | None = None,
    ) -> Attempt:
        """Returns the first attempt to which a target responded.

        Args:
            job: Requirements, deadline and charge of the request.
            request: The request; its address and timeout are set here.
            retryable: Whether it may run twice.
            response_timeout_s: Seconds for the whole response after sending;
                by default the time left until the deadline.

        Raises:
            refusal.Refusal: No attempt succeeded.
        """
        try:
            return await self._send(job, request, retryable, response_timeout_s)
        except BaseException as error:
            if not job.sent:
                self.dispatcher.settle(job, 0)
            elif isinstance(error, refusal.Refusal) and error.not_run is True:
                # An earlier attempt was sent and may have run.
                error.not_run = "unknown"
            raise

    async def _send(
        self,
        job: dispatch.Job,
        request: forward.TargetRequest,
        retryable: bool,
        response_timeout_s: float | None,
    ) -> Attempt:
        self.retry_budget.count_request()
        retries = 0
        while True:
            slot = await self.dispatcher.acquire(job)
            try:
                outcome = await self._attempt(
                    job, slot, request, retryable, response_timeout_s
                )
            except BaseException:
                # The caller disconnected or the gateway cancelled the request.
                self.release(job, slot)
                raise
            if isinstance(outcome, Attempt):
                return outcome
            failure, error = outcome
            self.release(job, slot)
            job.avoided_targets.add(slot.in_flight.target)
            if not retry.may_retry(failure) or not self._may_retry(job):
                raise error
            metrics.RETRIES.inc()
            await asyncio.sleep(retry.backoff_s(retries, self.rng))
            retries += 1

    def release(self, job: dispatch.Job, slot: dispatch.Slot) -> None:
        """Releases the slot of a request that no longer runs."""
        self._reporter.request_ended(job)
        self.dispatcher.release(slot)

    def record_failure(self, slot: dispatch.Slot, kind: str) -> None:
        """Counts a failure of a target and ejects it for a while.

        Args:
            slot: Slot of the failed attempt.
            kind: Kind of failure, for the metric.
        """
        metrics.FAILED_ATTEMPTS.labels(kind).inc()
        now = asyncio.get_running_loop().time()
        self.dispatcher.ejections.record_failure(slot.in_flight.target, now)

    def _may_retry(self, job: dispatch.Job) -> bool:
        now = asyncio.get_running_loop().time()
        return now < job.deadline and self.retry_budget.take()

    async def _attempt(
        self,
        job: dispatch.Job,
        slot: dispatch.Slot,
        request: forward.TargetRequest,
        retryable: bool,
        response_timeout_s: float | None,
    ) -> Attempt | tuple[retry.Failure, refusal.Refusal]:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self._reporter.request_started(job)
        sent_before, job.sent = job.sent, True
        try:
            response = await self.target_client.send(
                dataclasses.replace(
                    request,
                    address=slot.address,
                    timeout_s=response_timeout_s
                    or max(0.001, job.deadline - sent_at),
                )
            )
        except forward.NotSent as error:
            job.sent = sent_before
            self.record_failure(slot, "unreachable")
            failure = retry.Failure(retryable=retryable, sent=False)
            return failure, unreachable_refusal(error)
        except forward.AnswerLost as error:
            if not error.timed_out:
                self.record_failure(slot, "answer_lost")
            failure = retry.Failure(retryable=retryable, sent=True)
            return failure, answer_lost_refusal(error)
        pause_s = retry_after.requested_pause_s(
            response.status, response.headers
        )
        if pause_s > 0.0:
            in_flight = slot.in_flight
            self.dispatcher.pause(in_flight.target, in_flight.name, pause_s)
        if (
            response.status in _NOT_RUN_STATUSES
            and not job.requirements.service
        ):
            response.close()
            job.sent = sent_before
            metrics.FAILED_ATTEMPTS.labels("refused").inc()
            failure = retry.Failure(
                retryable=retryable, sent=True, refused=True
            )
            return failure, refusal.Refusal(
                "the engine refused the request before running it",
                status=503,
                code="engine_busy",
                retry_after_s=max(1, math.ceil(pause_s)),
                step="forward",
                peer=slot.address,
            )
        metrics.FIRST_BYTE_SECONDS.observe(loop.time() - sent_at)
        self.dispatcher.ejections.record_success(
            slot.in_flight.target, loop.time()
        )
        return Attempt(sender=self, job=job, slot=slot, response=response)


def unreachable_refusal(error: forward.NotSent) -> refusal.Refusal:
    """Returns the refusal of a request of which no byte was sent."""
    return refusal.Refusal(
        "the target cannot be reached",
        status=503,
        code="target_unreachable",
        retry_after_s=1,
        step=error.step,
        peer=error.peer,
    )


def answer_lost_refusal(
    error: forward.AnswerLost, *, started: bool = False
) -> refusal.Refusal:
    """Returns the refusal of a request whose response is incomplete.

    Args:
        error: How the response was lost.
        started: Whether the response had started, so that the request ran.
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
