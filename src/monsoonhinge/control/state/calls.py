"""Records of non-repeatable calls, which must run at most once."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from monsoonhinge.control.state import rows
from monsoonhinge.protocol import commands

DEFAULT_LIMIT_BYTES = 256 * 1024 * 1024

# Memory of the Python objects of a record in addition to its field contents.
_RECORD_OVERHEAD_BYTES = 512

CallKey = tuple[str, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Immutable record of a call.

    ``state`` is ``running``, ``finished``, ``answer_not_kept`` or ``unknown``.
    """

    digest: bytes
    gateway: str
    claim_id: str
    claimed_ms: int
    state: str = "running"
    status: int = 0
    headers: bytes = b""
    body: bytes = b""

    @property
    def response_bytes(self) -> int:
        """Size of the recorded response."""
        return len(self.headers) + len(self.body)


class Calls:
    """Call records within a memory limit.

    Attributes:
        records: Records by team, route and idempotency key.
        limit_bytes: Memory limit of claims and responses together.
        claim_bytes: Memory of all records without their responses.
        response_bytes: Memory of all responses.
    """

    def __init__(self) -> None:
        self.records: dict[CallKey, Call] = {}
        self.limit_bytes = DEFAULT_LIMIT_BYTES
        self.claim_bytes = 0
        self.response_bytes = 0
        # Ordered set of the calls with a response, earliest finished first.
        self._with_response: dict[CallKey, None] = {}
        # Ordered set of the running calls by gateway.
        self._running: dict[str, dict[CallKey, None]] = {}

    def claim(self, command: commands.ClaimCall) -> commands.CallResult:
        """Claims a call; only the first claim of a key succeeds.

        Returns:
            Code ``won`` for the first claim and its resends, ``conflict`` for
            a different request, ``full`` without memory for the record, and
            otherwise the state of the call with its response.
        """
        key = (command.team, command.route, command.key)
        call = self.records.get(key)
        if call is None:
            return self._add(key, command)
        if call.digest != command.digest:
            return commands.CallResult(code="conflict")
        if call.state == "running" and call.claim_id == command.claim_id:
            return commands.CallResult(code="won")
        return commands.CallResult(
            code=call.state,
            status=call.status,
            headers=call.headers,
            body=call.body,
        )

    def finish(self, command: commands.FinishCall) -> commands.CallResult:
        """Records the outcome of a claimed call.

        A late response replaces ``unknown``; a response is never replaced.
        """
        key = (command.team, command.route, command.key)
        call = self.records.get(key)
        if call is None or call.claim_id != command.claim_id:
            # The claim was released earlier, or the retention period of its
            # record has passed.
            code = "recorded" if command.state == "released" else "unknown"
            return commands.CallResult(code=code)
        if command.state == "released":
            if call.state != "running":
                return commands.CallResult(code=call.state)
            self._remove(key)
        elif command.state == "finished":
            self._record_response(key, call, command)
        elif call.state == "running":
            self._set_state(key, call, "unknown")
        return commands.CallResult(code="recorded")

    def abandon(self, gateway: str) -> None:
        """Sets the running calls of a lost gateway to ``unknown``."""
        for key in list(self._running.get(gateway, ())):
            self._set_state(key, self.records[key], "unknown")

    def drop(self, before_ms: int) -> None:
        """Removes records of calls that were claimed before a time.

        Running calls are kept. Without the record another gateway could run
        the call a second time.
        """
        expired = [
            key
            for key, call in self.records.items()
            if call.claimed_ms < before_ms and call.state != "running"
        ]
        for key in expired:
            self._remove(key)

    def document(self) -> dict[str, Any]:
        """Returns the number and sizes of the records."""
        return {
            "records": len(self.records),
            "running": sum(len(keys) for keys in self._running.values()),
            "answers": len(self._with_response),
            "claim_bytes": self.claim_bytes,
            "answer_bytes": self.response_bytes,
            "limit_bytes": self.limit_bytes,
        }

    def to_rows(self) -> Iterator[rows.Row]:
        """Yields the rows of the snapshot."""
        positions = {
            key: position for position, key in enumerate(self._with_response)
        }
        yield [self.limit_bytes], b""
        for key, call in self.records.items():
            fields = [
                *key,
                call.digest.hex(),
                call.gateway,
                call.claim_id,
                call.claimed_ms,
                call.state,
                call.status,
                call.headers.hex(),
                positions.get(key, -1),
            ]
            yield fields, call.body

    @classmethod
    def from_rows(cls, table: Iterator[rows.Row]) -> "Calls":
        """Reads what ``to_rows`` yielded."""
        result = cls()
        (result.limit_bytes,), _ = next(table)
        positions: dict[int, CallKey] = {}
        for fields, body in table:
            team, route, name, digest, gateway, claim_id, claimed_ms = fields[
                :7
            ]
            state, status, headers, position = fields[7:]
            key = (team, route, name)
            call = Call(
                digest=bytes.fromhex(digest),
                gateway=gateway,
                claim_id=claim_id,
                claimed_ms=claimed_ms,
                state=state,
                status=status,
                headers=bytes.fromhex(headers),
                body=body,
            )
            result.records[key] = call
            result.claim_bytes += _claim_bytes(key, call)
            result.response_bytes += call.response_bytes
            if state == "running":
                result._running.setdefault(gateway, {})[key] = None
            if position >= 0:
                positions[position] = key
        result._with_response = {
            positions[position]: None for position in sorted(positions)
        }
        return result

    def _add(
        self, key: CallKey, command: commands.ClaimCall
    ) -> commands.CallResult:
        if command.limit_bytes:
            self.limit_bytes = command.limit_bytes
        call = Call(
            digest=command.digest,
            gateway=command.gateway,
            claim_id=command.claim_id,
            claimed_ms=command.now_ms,
        )
        size = _claim_bytes(key, call)
        if self.claim_bytes + size > self.limit_bytes:
            # The command may have lowered the limit, which then applies even
            # though the claim is refused.
            self._evict_responses()
            return commands.CallResult(code="full")
        self.records[key] = call
        self.claim_bytes += size
        self._running.setdefault(call.gateway, {})[key] = None
        self._evict_responses()
        return commands.CallResult(code="won")

    def _record_response(
        self, key: CallKey, call: Call, command: commands.FinishCall
    ) -> None:
        if call.state not in ("running", "unknown"):
            return
        self._set_state(key, call, "finished")
        finished = dataclasses.replace(
            call,
            state="finished",
            status=command.status,
            headers=command.headers,
            body=command.body,
        )
        self.records[key] = finished
        self.response_bytes += finished.response_bytes
        self._with_response[key] = None
        self._evict_responses()

    def _evict_responses(self) -> None:
        while self._with_response and (
            self.claim_bytes + self.response_bytes > self.limit_bytes
        ):
            key = next(iter(self._with_response))
            del self._with_response[key]
            call = self.records[key]
            self.response_bytes -= call.response_bytes
            self.records[key] = dataclasses.replace(
                call, state="answer_not_kept", status=0, headers=b"", body=b""
            )

    def _set_state(self, key: CallKey, call: Call, state: str) -> None:
        if call.state == "running":
            running = self._running[call.gateway]
            del running[key]
            if not running:
                del self._running[call.gateway]
        self.records[key] = dataclasses.replace(call, state=state)

    def _remove(self, key: CallKey) -> None:
        call = self.records[key]
        self._set_state(key, call, "removed")
        del self.records[key]
        self._with_response.pop(key, None)
        self.claim_bytes -= _claim_bytes(key, call)
        self.response_bytes -= call.response_bytes


def _claim_bytes(key: CallKey, call: Call) -> int:
    return (
        _RECORD_OVERHEAD_BYTES
        + sum(len(part.encode()) for part in key)
        + len(call.digest)
        + len(call.gateway.encode())
        + len(call.claim_id.encode())
    )
