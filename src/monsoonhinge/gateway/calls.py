"""Calls that run at most once."""

import asyncio
from collections.abc import Coroutine
import hashlib
import json
import logging
from typing import Any
import uuid

import multidict

from monsoonhinge.control import client as control_client
from monsoonhinge.gateway import forward
from monsoonhinge.gateway import refusal
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_AWAIT_STEP_S = 2.0
_RECORD_TIMEOUT_S = 5.0
_RETRY_PAUSE_S = 0.2
# The answer of a call is held whole until its outcome is recorded.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024

_LOG = logging.getLogger(__name__)


class RecordedAnswer:
    """The answer of a finished call.

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
    ) -> "RecordedAnswer":
        """Makes the answer from its record."""
        pairs = [(str(name), str(value)) for name, value in json.loads(headers)]
        return cls(
            status=status, headers=multidict.CIMultiDict(pairs), body=body
        )


class Claim:
    """The right of this gateway to run a call.

    Attributes:
        team: Team of the caller.
        route: Route of the call.
        key: Idempotency key.
        digest: Digest of the call.
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

    def finish(self, state: str) -> commands.FinishCall:
        """Returns the command that records an outcome without an answer."""
        return commands.FinishCall(
            team=self.team,
            route=self.route,
            key=self.key,
            claim_id=self.claim_id,
            state=state,
        )

    def finished(
        self, answer: RecordedAnswer, *, keep: int
    ) -> commands.FinishCall:
        """Returns the command that records an answer.

        A record without headers means that the answer was not kept; a kept
        answer has at least an empty list of headers.

        Args:
            answer: The answer.
            keep: Size of the largest body that is kept, in bytes.
        """
        command = self.finish("finished")
        command.status = answer.status
        if len(answer.body) <= keep:
            command.headers = json.dumps(list(answer.headers.items())).encode()
            command.body = answer.body
        return command


class Calls:
    """Claims calls and waits for answers of calls that run elsewhere."""

    def __init__(self, *, control: control_client.Client, gateway: str) -> None:
        self.control = control
        self.gateway = gateway
        self._tasks: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """Gives up what is still to be recorded."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def finish(self) -> None:
        """Waits until everything is recorded."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def claim(
        self, claim: Claim, *, deadline: float
    ) -> RecordedAnswer | None:
        """Claims a call before its first byte leaves.

        Args:
            claim: The claim.
            deadline: Time until which a call that runs elsewhere is awaited.

        Returns:
            None if this gateway may run the call, else the recorded answer.

        Raises:
            refusal.Refusal: The call may not run, or its answer is unknown.
        """
        loop = asyncio.get_running_loop()
        while (left := deadline - loop.time()) > 0:
            try:
                result = await self._propose_claim(claim, left)
            except errors.MonsoonhingeError as error:
                self._spawn(self._retract(claim))
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
                return _outcome(
                    result.code, result.status, result.headers, result.body
                )
            record = await self._await_call(claim, deadline)
            if record is not None and record.state != "absent":
                if record.digest and record.digest != claim.digest:
                    return _outcome("conflict", 0, b"", b"")
                return _outcome(
                    record.state, record.status, record.headers, record.body
                )
        return _outcome("running", 0, b"", b"")

    async def record(self, command: commands.FinishCall) -> None:
        """Records an outcome; goes on in the background if that takes long."""
        task = self._spawn(self._record(command))
        await asyncio.wait({task}, timeout=_RECORD_TIMEOUT_S)

    def release(self, claim: Claim) -> None:
        """Gives a claim up, since no byte of the call has left."""
        self._spawn(self._record(claim.finish("released")))

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
        while (left := deadline - loop.time()) > 0:
            step = min(left, _AWAIT_STEP_S)
            try:
                record = await self.control.request(
                    messages.AwaitCall(
                        team=claim.team,
                        route=claim.route,
                        key=claim.key,
                        # The reply must come within an attempt's timeout.
                        timeout_ms=max(1, int(step * 500)),
                    ),
                    messages.CallRecord,
                    timeout=left,
                )
            except errors.MonsoonhingeError as error:
                _LOG.debug("awaiting a call: %s", error)
                await asyncio.sleep(min(_RETRY_PAUSE_S, left))
                continue
            if record.state != "running":
                return record
        return None

    async def _retract(self, claim: Claim) -> None:
        # The lost claim may have been committed or may still be under way.
        # Claiming once more under the same id puts the release behind it.
        while True:
            try:
                result = await self._propose_claim(claim, _RECORD_TIMEOUT_S)
            except errors.MonsoonhingeError as error:
                _LOG.debug("retracting a claim: %s", error)
                await asyncio.sleep(_RETRY_PAUSE_S)
                continue
            if result.code == "won":
                await self._record(claim.finish("released"))
            return

    async def _record(self, command: commands.FinishCall) -> None:
        while True:
            try:
                await self.control.propose(
                    command, commands.CallResult, timeout=_RECORD_TIMEOUT_S
                )
                return
            except errors.MonsoonhingeError as error:
                _LOG.warning("recording a call: %s", error)
                await asyncio.sleep(_RETRY_PAUSE_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


async def read_answer(answer: forward.HttpAnswer) -> RecordedAnswer:
    """Reads the whole answer of a call.

    Raises:
        forward.AnswerLost: It ended early or is too large to be held.
    """
    parts: list[bytes] = []
    size = 0
    async for chunk in answer.chunks():
        size += len(chunk)
        if size > _MAX_ANSWER_BYTES:
            raise forward.AnswerLost(
                f"the answer is larger than {_MAX_ANSWER_BYTES} bytes",
                step="read",
                peer=answer.peer,
            )
        parts.append(chunk)
    return RecordedAnswer(
        status=answer.status, headers=answer.headers, body=b"".join(parts)
    )


def call_digest(*, method: str, path: str, body: bytes) -> bytes:
    """Returns the SHA-256 that tells whether two calls are the same."""
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


def _outcome(
    code: str, status: int, headers: bytes, body: bytes
) -> RecordedAnswer:
    if code == "finished" and headers:
        return RecordedAnswer.from_record(
            status=status, headers=headers, body=body
        )
    if code in ("finished", "not_kept"):
        code = "answer_not_kept"
    refused, reason, message, not_run = _REFUSALS.get(
        code,
        (409, "outcome_unknown", f"unexpected call state {code!r}", "unknown"),
    )
    raise refusal.Refusal(
        message,
        status=refused,
        code=reason,
        not_run=not_run,
        retry_after_s=1 if refused == 503 or code == "running" else None,
        step="claim",
    )
