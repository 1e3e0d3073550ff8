"""Calls that run at most once, by claims in the control log."""

import asyncio
import hashlib
import json
import logging
import uuid

import multidict

from monsoonhinge.control import client as control_client
from monsoonhinge.gateway import forward
from monsoonhinge.gateway import refusal
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import supervision

_AWAIT_POLL_S = 2.0
_RECORD_TIMEOUT_S = 5.0
_RETRY_DELAY_S = 0.2
# The response of a call is buffered until its outcome is recorded.
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024

_LOG = logging.getLogger(__name__)


class RecordedResponse:
    """Response of a finished call.

    Attributes:
        status: HTTP status.
        headers: Response headers.
        body: Whole body.
    """

    def __init__(
        self,
        *,
        status: int,
        headers: multidict.CIMultiDict[str],
        body: bytes,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @classmethod
    def from_record(
        cls, *, status: int, headers: bytes, body: bytes
    ) -> "RecordedResponse":
        """Returns the response that a call record holds.

        Args:
            status: HTTP status.
            headers: JSON list of pairs of name and value.
            body: Whole body.
        """
        pairs = [(str(name), str(value)) for name, value in json.loads(headers)]
        return cls(
            status=status, headers=multidict.CIMultiDict(pairs), body=body
        )


class Claim:
    """Claim by which this gateway may run a call.

    Attributes:
        team: Team of the caller.
        route: Route of the call.
        key: Idempotency key.
        digest: SHA-256 of the call; see ``call_digest``.
        claim_id: Unique id of the claim.
    """

    def __init__(
        self, *, team: str, route: str, key: str, digest: bytes
    ) -> None:
        self.team = team
        self.route = route
        self.key = key
        self.digest = digest
        self.claim_id = uuid.uuid4().hex

    def outcome_command(self, state: str) -> commands.FinishCall:
        """Returns the command that records an outcome without a response."""
        return commands.FinishCall(
            team=self.team,
            route=self.route,
            key=self.key,
            claim_id=self.claim_id,
            state=state,
        )

    def response_command(
        self, response: RecordedResponse, *, max_body_bytes: int
    ) -> commands.FinishCall:
        """Returns the command that records the response of a finished call.

        A record without headers means that the response was too large to be
        kept; a recorded response has at least an empty list of headers.

        Args:
            response: Response of the target.
            max_body_bytes: Size of the largest body that is recorded.
        """
        command = self.outcome_command("finished")
        command.status = response.status
        if len(response.body) <= max_body_bytes:
            command.headers = json.dumps(
                list(response.headers.items())
            ).encode()
            command.body = response.body
        return command


class CallClaims:
    """Claims calls, awaits calls of other gateways, and records outcomes."""

    def __init__(self, *, control: control_client.Client, gateway: str) -> None:
        self.control = control
        self.gateway = gateway
        self._supervisor = supervision.Supervisor()

    async def stop(self) -> None:
        """Cancels the recording of outcomes that are not yet recorded."""
        await self._supervisor.stop()

    async def wait_recorded(self) -> None:
        """Waits until all outcomes are recorded."""
        await self._supervisor.wait()

    async def claim(
        self, claim: Claim, *, deadline: float
    ) -> RecordedResponse | None:
        """Claims a call; must succeed before any byte of the call is sent.

        Args:
            claim: The claim.
            deadline: Time until which a call that already runs is awaited.

        Returns:
            None if this gateway may run the call, else the recorded response.

        Raises:
            refusal.Refusal: The call may not run and has no known response.
        """
        loop = asyncio.get_running_loop()
        while (remaining_s := deadline - loop.time()) > 0:
            try:
                result = await self._propose_claim(claim, remaining_s)
            except errors.MonsoonhingeError as error:
                self._supervisor.spawn(
                    "retract_claim", self._retract_claim(claim)
                )
                raise refusal.Refusal(
                    "the call could not be claimed; repeat it with the same "
                    "key",
                    status=503,
                    code="claim_unconfirmed",
                    retry_after_s=1,
                    step="claim",
                ) from error
            if result.code == "won":
                return None
            if result.code != "running":
                return _response_or_refusal(
                    result.code, result.status, result.headers, result.body
                )
            record = await self._await_call(claim, deadline)
            if record is not None and record.state != "absent":
                if record.digest and record.digest != claim.digest:
                    return _response_or_refusal("conflict", 0, b"", b"")
                return _response_or_refusal(
                    record.state, record.status, record.headers, record.body
                )
        return _response_or_refusal("running", 0, b"", b"")

    async def record(self, command: commands.FinishCall) -> None:
        """Records an outcome; after 5 s this continues in the background."""
        task = self._supervisor.spawn(
            "record_outcome", self._record_outcome(command)
        )
        await asyncio.wait({task}, timeout=_RECORD_TIMEOUT_S)

    def release(self, claim: Claim) -> None:
        """Releases a claim in the background; no byte of the call was sent."""
        self._supervisor.spawn(
            "record_outcome",
            self._record_outcome(claim.outcome_command("released")),
        )

    async def _propose_claim(
        self, claim: Claim, timeout: float
    ) -> commands.CallResult:
        return await self.control.propose(
            commands.ClaimCall(
                team=claim.team,
                route=claim.route,
                key=claim.key,
                digest=claim.digest,
                gateway=self.gateway,
                claim_id=claim.claim_id,
            ),
            commands.CallResult,
            timeout=timeout,
        )

    async def _await_call(
        self, claim: Claim, deadline: float
    ) -> messages.CallRecord | None:
        loop = asyncio.get_running_loop()
        while (remaining_s := deadline - loop.time()) > 0:
            poll_s = min(remaining_s, _AWAIT_POLL_S)
            try:
                record = await self.control.request(
                    messages.AwaitCall(
                        team=claim.team,
                        route=claim.route,
                        key=claim.key,
                        # The reply must arrive before the client times out.
                        timeout_ms=max(1, int(poll_s * 500)),
                    ),
                    messages.CallRecord,
                    timeout=remaining_s,
                )
            except errors.MonsoonhingeError as error:
                _LOG.debug("waiting for a running call failed: %s", error)
                await asyncio.sleep(min(_RETRY_DELAY_S, remaining_s))
                continue
            if record.state != "running":
                return record
        return None

    async def _retract_claim(self, claim: Claim) -> None:
        # The claim may have been committed or may still be committed. Claiming
        # again with the same id orders the release after it in the log.
        while True:
            try:
                result = await self._propose_claim(claim, _RECORD_TIMEOUT_S)
            except errors.MonsoonhingeError as error:
                _LOG.debug("retracting an unconfirmed claim failed: %s", error)
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            if result.code == "won":
                await self._record_outcome(claim.outcome_command("released"))
            return

    async def _record_outcome(self, command: commands.FinishCall) -> None:
        while True:
            try:
                await self.control.propose(
                    command, commands.CallResult, timeout=_RECORD_TIMEOUT_S
                )
                return
            except errors.MonsoonhingeError as error:
                _LOG.warning("recording a call outcome failed: %s", error)
                await asyncio.sleep(_RETRY_DELAY_S)


async def read_response(response: forward.TargetResponse) -> RecordedResponse:
    """Reads the whole response of a call.

    Raises:
        forward.AnswerLost: It ended early or is too large to be buffered.
    """
    parts: list[bytes] = []
    size = 0
    async for chunk in response.chunks():
        size += len(chunk)
        if size > _MAX_RESPONSE_BYTES:
            raise forward.AnswerLost(
                f"the answer is larger than {_MAX_RESPONSE_BYTES} bytes",
                step="read",
                peer=response.peer,
            )
        parts.append(chunk)
    return RecordedResponse(
        status=response.status, headers=response.headers, body=b"".join(parts)
    )


def call_digest(*, method: str, path: str, body: bytes) -> bytes:
    """Returns the SHA-256 by which two calls are compared."""
    total = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        total.update(len(part).to_bytes(8, "big"))
        total.update(part)
    return total.digest()


_REFUSALS: dict[str, tuple[int, str, str, refusal.NotRun]] = {
    "conflict": (
        409,
        "idempotency_conflict",
        "this Idempotency-Key was used for another call",
        True,
    ),
    "unknown": (
        409,
        "outcome_unknown",
        "whether the call ran is unknown; it will not run again",
        "unknown",
    ),
    "full": (503, "call_records_full", "no room to record the call", True),
    "answer_not_kept": (
        409,
        "answer_not_kept",
        "the call ran; its answer was not kept",
        False,
    ),
    "running": (409, "call_running", "the call is still running", "unknown"),
}


def _response_or_refusal(
    code: str, status: int, headers: bytes, body: bytes
) -> RecordedResponse:
    if code == "finished" and headers:
        return RecordedResponse.from_record(
            status=status, headers=headers, body=body
        )
    if code in ("finished", "not_kept"):
        code = "answer_not_kept"
    refusal_status, reason, message, not_run = _REFUSALS.get(
        code,
        (409, "outcome_unknown", f"unexpected call state {code!r}", "unknown"),
    )
    raise refusal.Refusal(
        message,
        status=refusal_status,
        code=reason,
        not_run=not_run,
        retry_after_s=1 if refusal_status == 503 or code == "running" else None,
        step="claim",
    )
