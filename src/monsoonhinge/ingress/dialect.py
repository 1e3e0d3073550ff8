"""Interface between the ingress and the wire format of its requests."""

import dataclasses
import enum
import typing

from aiohttp import web
import multidict


class Malformed(Exception):
    """A request header is invalid."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, identified so that requests can share its cache."""

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True)
class ParsedRequest:
    """Head and body of a caller's request.

    Attributes:
        request_id: Request id that the target must return in its response;
            "" if the caller sent none.
        method: HTTP method.
        host: Host name from the Host header, without the port.
        raw_path: Path and query, encoded as the caller sent them.
        path: The raw path without the query.
        key: Key of the caller, or None if there is no authorization header.
        model: Requested model, or "".
        adapter: Requested adapter of the model, or "".
        tokens: Prompt tokens and maximum output tokens, or None if the caller
            did not state them.
        prompt: Parts of the prompt, in order.
        time_left_ms: Remaining time until the deadline of the caller, or None.
        last_event_id: Id of the event after which a stream resumes, or "".
        first_request_id: Id of the request whose response brought the first
            event of the resumed stream, or "".
        headers: Headers that are forwarded to the target unchanged.
        body: Complete body.
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
    first_request_id: str = ""

    @property
    def stream_id(self) -> str:
        """Id of the request whose response brought the first event."""
        if self.last_event_id and self.first_request_id:
            return self.first_request_id
        return self.request_id

    @property
    def shared_parts(self) -> list[str]:
        """Ids of the prompt parts that other requests may have as well.

        The last part belongs to the request or its session alone.
        """
        return [part.part_id for part in self.prompt[:-1]]


class ExecutionStatus(enum.Enum):
    """Whether a target ran a request, judged by the response headers.

    Attributes:
        RAN: The addressed target ran the request.
        NOT_RUN: The target rejected the request before running it.
        WRONG_INSTANCE: Another target serves at the address; it rejected the
            request.
        UNKNOWN: The response cannot be attributed to the request or target.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    UNKNOWN = "unknown"


class Dialect(typing.Protocol):
    """Translates between the wire format and the ingress."""

    def parse_request(self, request: web.BaseRequest) -> ParsedRequest:
        """Parses the path and headers of a request.

        Raises:
            Malformed: A header is invalid.
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
        """Returns the headers of a request to a target."""

    def classify_response(
        self,
        parsed: ParsedRequest,
        *,
        target: str,
        status: int,
        headers: typing.Mapping[str, str],
    ) -> ExecutionStatus:
        """Returns whether the target ran the request."""

    def rate_limit(self, headers: typing.Mapping[str, str]) -> float | None:
        """Returns the requests per second that a target accepts.

        The limit holds for all gateways together, until the target names
        another one or none. None if the response names no limit.
        """

    def is_leaving(self, headers: typing.Mapping[str, str]) -> bool:
        """Returns whether a target says that it is leaving.

        It takes no new requests then, and completes those that it has.
        """

    def response_headers(
        self, headers: typing.Mapping[str, str]
    ) -> multidict.CIMultiDict[str]:
        """Returns the response headers that are forwarded to the caller."""
