"""Finds the target of each attempt of a request, and waits for it."""

import asyncio
import dataclasses

from monsoonhinge.gateway import forward
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import gateway_context
from monsoonhinge.ingress import readiness
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import relay
from monsoonhinge.ingress import stream_origins
from monsoonhinge.ingress import target_table
from monsoonhinge.ingress import timeouts
from monsoonhinge.ingress import token_reservation
from monsoonhinge.ingress import wait_queue

_RETRY_AFTER_S = 0.3


class TargetAcquisition:
    """Chooses targets for the attempts of one request.

    Attributes:
        avoided_targets: Targets that already failed or rejected the request.
        requirements: What the request requires of a target.
    """

    def __init__(
        self,
        *,
        context: gateway_context.GatewayContext,
        parsed: dialect.ParsedRequest,
        admitted: admission.AdmittedRequest,
        limits: timeouts.RequestTimeouts,
        reservation: token_reservation.TokenReservation,
    ) -> None:
        self.avoided_targets: set[str] = set()
        self._context = context
        self._parsed = parsed
        self._admitted = admitted
        self._limits = limits
        self._reservation = reservation
        self.requirements = admitted.requirements(parsed)
        self._loop = asyncio.get_running_loop()

    async def acquire(self, *, releases_tokens: bool) -> target_table.Target:
        """Waits for a target, tokens and a permit, and returns the target.

        Args:
            releases_tokens: Whether the request holds no tokens while it waits
                for a target, since no attempt may have run yet.

        Raises:
            refusal.Refusal: There was no target or there were no tokens in
                time.
        """
        while True:
            target = self._context.balancer.choose(
                self.requirements,
                avoided_targets=self.avoided_targets,
                now=self._loop.time(),
            )
            if target is None:
                if releases_tokens:
                    self._reservation.release()
                target = await self._wait_counted()
            if not self._reservation.held:
                await self._reservation.acquire()
                # The target may have become unsuitable in the meantime.
                continue
            if await self._context.rate_limiter.acquire(target):
                return target

    def record_rejection(
        self, target: target_table.Target, execution: dialect.ExecutionStatus
    ) -> None:
        """Avoids a target that rejected the request before running it."""
        now = self._loop.time()
        model, adapter = self.requirements.model, self.requirements.adapter
        if now < target.retry_at:
            # It asked for a pause, whatever model a request needs.
            self.avoided_targets.add(target.name)
        elif model:
            target.mark_model_missing(model, adapter, now)
            self._context.dispatch_at(now + target_table.MISSING_RECHECK_S)
        else:
            self.avoided_targets.add(target.name)
        if execution is dialect.ExecutionStatus.WRONG_INSTANCE:
            self.avoided_targets.add(target.name)

    def bind(self, target: target_table.Target) -> None:
        """Binds the rest of a stream to the target that sends its next event.

        Further attempts go to targets that run the same software version, and
        so do those of a caller that resumes the stream.

        Raises:
            forward.AnswerLost: The target has restarted as another version
                since the request was sent. Which one answers is not certain.
        """
        registration = target.registration
        if self._context.balancer.targets.runs_other_version_now(target):
            raise forward.AnswerLost(
                "the target has restarted as another version",
                step="relay",
                peer=registration.address,
            )
        self.requirements = dataclasses.replace(
            self.requirements, software_version=registration.software_version
        )
        if self._admitted.route.resumable:
            self._context.origins.record(
                self._parsed.stream_id,
                stream_origins.StreamOrigin(
                    service=registration.service,
                    software_version=registration.software_version,
                ),
                timeout_s=self._admitted.route.timeout_ms / 1000,
                now=self._loop.time(),
            )

    def check_version(self, target: target_table.Target) -> None:
        """Ends a stream whose earlier events may be of another version.

        Raises:
            relay.BrokenOff: The target has restarted as another version since
                the request was sent.
        """
        if not self._context.balancer.targets.runs_other_version_now(target):
            return
        self._context.origins.record(
            self._parsed.stream_id,
            stream_origins.UNCERTAIN,
            timeout_s=self._admitted.route.timeout_ms / 1000,
            now=self._loop.time(),
        )
        raise relay.BrokenOff

    def wait_refusal(self) -> refusal.Refusal:
        """Returns the refusal of the request if it can no longer be served."""
        return readiness.wait_refusal(
            self.requirements,
            engine=self._admitted.service.engine,
            targets=self._context.balancer.targets,
            now=self._loop.time(),
        )

    def check_authorization(self) -> None:
        """Checks that the request may still run.

        Raises:
            refusal.Refusal: Its key was withdrawn, or the configuration is no
                longer confirmed.
        """
        error = self._authorization_error()
        if error is not None:
            raise error

    def _authorization_error(self) -> refusal.Refusal | None:
        if self._context.still_authorized(self._admitted):
            return None
        return refusal.Refusal(
            refusal.Reason.STALE_CONFIGURATION,
            retry_after_s=_RETRY_AFTER_S,
            step="dispatch",
        )

    async def _wait_counted(self) -> target_table.Target:
        """Waits for a target, and counts the request if it ends before."""
        try:
            return await self._wait_for_target()
        except (refusal.Refusal, asyncio.CancelledError):
            self._context.wait_queue.demand.count_unserved(
                self.requirements, self._loop.time()
            )
            raise

    async def _wait_for_target(self) -> target_table.Target:
        now = self._loop.time()
        if now >= self._limits.queue_deadline:
            raise self.wait_refusal()
        self.check_authorization()
        hopeless = self._context.hopeless_wait(
            self.requirements, self._limits.queue_deadline
        )
        if hopeless is not None:
            raise hopeless
        queued = wait_queue.QueuedRequest(
            requirements=self.requirements,
            priority=self._admitted.priority,
            latency_deadline=self._limits.latency_deadline,
            arrived_at=self._limits.arrived_at,
            queue_deadline=self._limits.queue_deadline,
            avoided_targets=self.avoided_targets,
            shared_parts=self._parsed.shared_parts,
            authorization_error=self._authorization_error,
            future=self._loop.create_future(),
        )
        self._context.wait_queue.add(queued)
        self._context.demand_changed()
        try:
            async with asyncio.timeout_at(self._limits.queue_deadline):
                return await queued.future
        except TimeoutError:
            raise self.wait_refusal() from None
        finally:
            self._context.wait_queue.remove(queued)
            self._context.demand_changed()
