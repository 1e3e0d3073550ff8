"""What callers and targets saw, and the checks of it."""

import collections
import dataclasses

from tests.soak import stream_record

# A request that crosses the close of its connection ends within this time.
_CROSSING_S = 0.2

# Statuses that promise that a request has not run and never will.
_PROMISES = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class Run:
    """A run of a request at a target.

    Attributes:
        target: Id of the target.
        at: Time of its start, in seconds of the event loop.
        method: Method with which it arrived.
        path: Path with which it arrived.
        ending: How the target answered it.
    """

    target: str
    at: float
    method: str
    path: str
    ending: str = ""


@dataclasses.dataclass(slots=True)
class Call:
    """One attempt of a caller, under an id of its own.

    Attributes:
        request_id: Its id.
        method: Its method.
        path: Its path.
        repeatable: Whether its route allows it to run more than once.
        gateway: Gateway to which it was sent.
        sent_at: Time at which it was sent, in seconds of the event loop.
        status: Status of the complete response, or 0 without one.
        body: Body of the response.
        signature: Signature of the target in the response, or "".
        malformed_head: Head of a response that is no HTTP, or "".
        error: Why there is no complete response, or "".
        ended_at: Time at which the response was complete or the call failed.
    """

    request_id: str
    method: str
    path: str
    repeatable: bool
    gateway: str
    sent_at: float
    status: int = 0
    body: bytes = b""
    signature: str = ""
    malformed_head: str = ""
    error: str = ""
    ended_at: float = 0.0


class Record:
    """Collects the calls and the runs of one play.

    Attributes:
        calls: Calls by request id.
        runs: Runs by request id.
        notes: Troubles, in order.
        streams: Streams that callers resume when they break off.
    """

    def __init__(self) -> None:
        self.calls: dict[str, Call] = {}
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.notes: list[str] = []
        self.streams: list[stream_record.Stream] = []

    def violations(self) -> list[str]:
        """Returns a line for each broken rule."""
        lines = []
        for request_id, runs in self.runs.items():
            call = self.calls.get(request_id)
            if call is None:
                lines.append(f"UNASKED {request_id}: {runs}")
            else:
                lines += self._violations_of(call, runs)
        for call in self.calls.values():
            if call.status == 200 and call.request_id not in self.runs:
                lines.append(f"MIXED no target ran {call}")
            if call.malformed_head or (call.signature and call.status != 200):
                lines.append(f"MIXED {call}: {self.runs[call.request_id]}")
        for stream in self.streams:
            lines += stream.violations()
        return lines

    def lost_calls(self) -> list[str]:
        """Returns a line for each call that a gateway has cut off.

        It counts if a target got it, or if it was not cut at once.
        """
        return [
            f"LOST {call}: {self.runs.get(call.request_id)}"
            for call in self.calls.values()
            if call.error in ("IncompleteReadError", "ConnectionResetError")
            and (
                call.request_id in self.runs
                or call.ended_at - call.sent_at > _CROSSING_S
            )
        ]

    def _violations_of(self, call: Call, runs: list[Run]) -> list[str]:
        lines = []
        if not call.repeatable:
            if len(runs) > 1:
                lines.append(f"TWICE {call}: {runs}")
            if call.status in _PROMISES:
                lines.append(f"REFUSED {call}: {runs}")
        if any(
            (run.method, run.path) != (call.method, call.path) for run in runs
        ):
            lines.append(f"UNASKED changed {call}: {runs}")
        if call.status == 200:
            expected = {signature(run.target, call.request_id) for run in runs}
            body = (
                b"" if call.method == "HEAD" else answer_body(call.request_id)
            )
            if call.signature not in expected or call.body != body:
                lines.append(f"MIXED {call}: {runs}")
        return lines

    def summary(self) -> dict[str, int]:
        """Returns the number of calls by outcome, and of runs by ending."""
        outcomes = collections.Counter(
            str(call.status or call.error) for call in self.calls.values()
        )
        endings = collections.Counter(
            f"run {run.ending}" for runs in self.runs.values() for run in runs
        )
        complete = sum(stream.is_complete for stream in self.streams)
        resumed = sum(stream.resumed for stream in self.streams)
        return dict(sorted((outcomes + endings).items())) | {
            "streams": len(self.streams),
            "complete streams": complete,
            "resumptions": resumed,
        }


def signature(target: str, request_id: str) -> str:
    """Returns the signature with which a target signs a response."""
    return f"{target}.{request_id}"


def answer_body(request_id: str) -> bytes:
    """Returns the body of the response to a request, as a series of events."""
    events = [f"id: {n}\ndata: to {request_id}\n\n" for n in range(5)]
    return "".join(events).encode()
