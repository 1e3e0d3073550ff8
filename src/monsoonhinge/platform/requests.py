"""Headers of callers' requests and of targets' answers."""

from collections.abc import Mapping

from aiohttp import web
import multidict

from monsoonhinge.ingress import dialect
from monsoonhinge.platform import wire

_BEARER = "bearer "


class PlatformDialect:
    """The platform's headers; see ``dialect.Dialect``."""

    def read(self, request: web.BaseRequest) -> dialect.Call:
        """Reads the head of a request."""
        headers = request.headers
        model, _, adapter = headers.get(wire.MODEL, "").partition(
            wire.ADAPTER_SEPARATOR
        )
        target_path = request.raw_path
        return dialect.Call(
            request_id=headers.get(wire.REQUEST_ID, ""),
            method=request.method,
            host=headers.get("Host", "").partition(":")[0],
            target_path=target_path,
            path=target_path.partition("?")[0],
            key=_key(headers.get(wire.AUTHORIZATION)),
            model=model,
            adapter=adapter,
            tokens=_tokens(headers.get(wire.TOKEN_COUNT)),
            prompt=_prompt(headers.get(wire.PROMPT_PREFIX)),
            time_left_ms=_milliseconds(headers.get(wire.DEADLINE_MS)),
            last_event_id=headers.get(wire.LAST_EVENT_ID, ""),
            headers=_passed_on(headers, wire.STRIPPED_REQUEST_HEADERS),
        )

    def headers(
        self,
        call: dialect.Call,
        *,
        target: str,
        team: str,
        time_left_ms: int,
        rank: int | None,
        last_event_id: str,
    ) -> multidict.CIMultiDict[str]:
        """Returns all headers of a request to a target."""
        result = call.headers.copy()
        result[wire.EXPECTED_INSTANCE] = target
        result[wire.DEADLINE_MS] = str(time_left_ms)
        if team:
            result[wire.TENANT] = team
        if rank is not None:
            result[wire.PRIORITY] = str(rank)
        if last_event_id:
            result[wire.LAST_EVENT_ID] = last_event_id
        return result

    def execution(
        self,
        call: dialect.Call,
        *,
        target: str,
        status: int,
        headers: Mapping[str, str],
    ) -> dialect.Execution:
        """Returns what the head of an answer tells about the run."""
        echoed = headers.get(wire.REQUEST_ID)
        if echoed is not None and echoed != call.request_id:
            return dialect.Execution.UNKNOWN
        if status == 421:
            instance = headers.get(wire.INSTANCE, target)
            if instance != target:
                return dialect.Execution.WRONG_INSTANCE
            return dialect.Execution.NOT_RUN
        if wire.NOT_EXECUTED in headers:
            return dialect.Execution.NOT_RUN
        if echoed is None and call.request_id:
            return dialect.Execution.UNKNOWN
        if "Content-Encoding" in headers or (
            200 <= status < 300 and wire.SERVER_SIGNATURE not in headers
        ):
            return dialect.Execution.UNKNOWN
        return dialect.Execution.RAN

    def answer_headers(
        self, headers: Mapping[str, str]
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers of an answer that pass to the caller."""
        return _passed_on(headers, frozenset())


def _passed_on(
    headers: Mapping[str, str], dropped: frozenset[str]
) -> multidict.CIMultiDict[str]:
    nominated = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    return multidict.CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in wire.HOP_BY_HOP_HEADERS
        and lower not in dropped
        and lower not in nominated
    )


def _key(authorization: str | None) -> str | None:
    if authorization is None:
        return None
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return ""
    return authorization[len(_BEARER) :].strip()


def _tokens(text: str | None) -> tuple[int, int] | None:
    if text is None:
        return None
    prompt, _, output = text.partition(",")
    return _number(prompt), _number(output)


def _prompt(text: str | None) -> tuple[dialect.PromptPart, ...]:
    if not text:
        return ()
    parts = (part.strip().partition(":") for part in text.split(","))
    return tuple(
        dialect.PromptPart(part_id=part_id, tokens=_number(tokens))
        for part_id, _, tokens in parts
    )


def _milliseconds(text: str | None) -> int | None:
    return None if text is None else _number(text)


def _number(text: str) -> int:
    text = text.strip()
    if not (text.isascii() and text.isdecimal() and len(text) <= 12):
        raise dialect.Malformed("a header is not a whole number")
    return int(text)
