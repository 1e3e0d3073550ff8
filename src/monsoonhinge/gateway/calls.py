"""Calls that run at most once."""

import hashlib
import json
import uuid

import multidict

from monsoonhinge.control import client as control_client
from monsoonhinge.gateway import refusal
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_AWAIT_STEP_S = 2.0


class RecordedAnswer:
    """The recorded answer of a finished call.

    Attributes:
        status: HTTP status.
        headers: Response headers.
        body: Whole body.
    """

    def __init__(self, *, status: int, headers: bytes, body: bytes) -> None:
        self.status = status
        self.headers: multidict.CIMultiDict[str] = multidict.CIMultiDict(
            (str(name), str(value)) for name, value in json.loads(headers)
        )
        self.body = body


class Claim:
    """The right of this gateway to run a call.

    Attributes:
        team: Team of the caller.
        route: Route of the call.
        key: Idempotency key.
        claim_id: Unique id of the claim.
    """

    def __init__(self, *, team: str, route: str, key: str) -> None:
        self.team = team
        self.route = route
        self.key = key
        self.claim_id = uuid.uuid4().hex

    def finish(
        self,
        state: str,
        *,
        status: int = 0,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> commands.FinishCall:
        """Returns the command that records the outcome."""
        return commands.FinishCall(
            team=self.team,
            route=self.route,
            key=self.key,
            claim_id=self.claim_id,
            state=state,
            status=status,
            headers=json.dumps(headers or []).encode(),
            body=body,
        )


class Calls:
    """Claims calls and waits for answers of calls that run elsewhere."""

    def __init__(self, *, control: control_client.Client, gateway: str) -> None:
        self.control = control
        self.gateway = gateway

    async def claim(
        self, claim: Claim, *, digest: bytes, timeout: float
    ) -> RecordedAnswer | None:
        """Claims a call before its first byte leaves.

        Returns:
            None if this gateway may run the call, else the recorded answer.

        Raises:
            refusal.Refusal: The call may not run, or its answer is unknown.
        """
        try:
            result = await self.control.propose(
                commands.ClaimCall(
                    team=claim.team,
                    route=claim.route,
                    key=claim.key,
                    digest=digest,
                    gateway=self.gateway,
                    claim_id=claim.claim_id,
                ),
                commands.CallResult,
                timeout=timeout,
            )
        except errors.MonsoonhingeError as error:
            raise refusal.Refusal(
                "the call could not be claimed; repeat it with the same key",
                status=503,
                code="claim_unconfirmed",
                retry_after_s=1,
                step="claim",
            ) from error
        match result.code:
            case "won":
                return None
            case "running":
                return await self._wait(claim, timeout)
            case _:
                return _outcome(
                    result.code, result.status, result.headers, result.body
                )

    async def record(self, command: commands.FinishCall) -> None:
        """Records the outcome of a call; errors leave it running or unknown.

        Raises:
            errors.MonsoonhingeError: The outcome could not be recorded.
        """
        await self.control.propose(command, commands.CallResult, timeout=10)

    async def _wait(self, claim: Claim, timeout: float) -> RecordedAnswer:
        record = await self.control.request(
            messages.AwaitCall(
                team=claim.team,
                route=claim.route,
                key=claim.key,
                timeout_ms=int(min(timeout, _AWAIT_STEP_S) * 1000),
            ),
            messages.CallRecord,
            timeout=timeout,
        )
        return _outcome(
            record.state, record.status, record.headers, record.body
        )


def call_digest(*, method: str, path: str, body: bytes) -> bytes:
    """Returns the SHA-256 that tells whether two calls are the same."""
    total = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        total.update(len(part).to_bytes(8, "big"))
        total.update(part)
    return total.digest()


def _outcome(
    code: str, status: int, headers: bytes, body: bytes
) -> RecordedAnswer:
    if code == "finished":
        return RecordedAnswer(status=status, headers=headers, body=body)
    refusals = {
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
        "full": (
            503,
            "call_records_full",
            "no room to record the call",
            True,
        ),
    }
    status, reason, message, not_run = refusals.get(
        code,
        (409, "call_running", "the call is still running", False),
    )
    raise refusal.Refusal(
        message,
        status=status,
        code=reason,
        not_run=not_run,  # type: ignore[arg-type]
        step="claim",
    )
