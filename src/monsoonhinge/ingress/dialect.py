"""What the ingress needs to know of the requests' wire format."""

import dataclasses
import enum
import typing

from aiohttp import web
import multidict

# Rank at a target, 0 first; a caller's rank and its wait decide it.
MAX_PRIORITY = 9


class Malformed(Exception):
    """A request whose headers cannot be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True)
class ParsedRequest:
    """A caller's request.

    Attributes:
        request_id: Id that the target must echo; "" if the caller sent none.
        method: HTTP method.
        host: Host that it names.
        target_path: Path with query, as the caller sent it.
        path: Path without query.
        key: Caller key, or None.
        model: Model, or "".
        adapter: Adapter of the model, or "".
        tokens: Prompt tokens and most output tokens, or None.
        prompt: Parts of the prompt in order.
        time_left_ms: How long the caller waits, or None.
        last_event_id: Event after which a stream goes on, or "".
        headers: Headers that pass to the target unchanged.
        body: Whole body.
    """

    request_id: str
    method: str
    host: str
    raw_path: str
    path: str
    key: str | None
    model: str
    adapter: str
    tokens: tuple[int, int] | None
    prompt: tuple[PromptPart, ...]
    time_left_ms: int | None
    last_event_id: str
    headers: multidict.CIMultiDict[str]
    body: bytes = b""


class ExecutionStatus(enum.Enum):
    """What the head of a target's answer tells about the run."""

    RAN = "ran"
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    UNKNOWN = "unknown"


class Dialect(typing.Protocol):
    """Reads callers' requests and speaks to targets."""

    def parse_request(self, request: web.BaseRequest) -> ParsedRequest:
        """Reads the head of a request.

        Raises:
            Malformed: A header cannot be read.
        """

    def request_headers(
        self,
        parsed: ParsedRequest,
        *,
        target: str,
        team: str,
        time_left_ms: int,
        priority: int | None,
        last_event_id: str,
    ) -> multidict.CIMultiDict[str]:
        """Returns all headers of a request to a target."""

    def classify_response(
        self,
        parsed: ParsedRequest,
        *,
        target: str,
        status: int,
        headers: typing.Mapping[str, str],
    ) -> ExecutionStatus:
        """Returns what the head of an answer tells about the run."""

    def response_headers(
        self, headers: typing.Mapping[str, str]
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers of an answer that pass to the caller."""
