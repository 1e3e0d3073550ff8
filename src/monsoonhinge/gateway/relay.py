"""Relay of a target's response to the caller."""

import asyncio
import json
import re

import aiohttp
from aiohttp import web

from monsoonhinge.gateway import active_requests
from monsoonhinge.gateway import attempts
from monsoonhinge.gateway import callers
from monsoonhinge.gateway import forward
from monsoonhinge.gateway import refusal
from monsoonhinge.runtime import transports
from monsoonhinge.targets import event_stream

# Engines report the usage at the end of the body, after the choices.
_TAIL_BYTES = 4096
_EVENT_STREAM = "text/event-stream"
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
_USAGE = re.compile(rb'"usage"\s*:\s*\{')
_TOKEN_COUNT = re.compile(rb'"(prompt|completion)_tokens"\s*:\s*(\d{1,12})')


class Relay:
    """Relays one response to a caller.

    Attributes:
        tail: Last bytes of the body, which contain the reported usage.
        complete: Whether the whole response was relayed.
    """

    def __init__(
        self, *, request: web.Request, attempt: attempts.Attempt
    ) -> None:
        self.tail = b""
        self.complete = False
        self._request = request
        self._attempt = attempt
        response = attempt.response
        self._response = web.StreamResponse(
            status=response.status, headers=response.headers
        )
        self._response.headers["X-Request-Id"] = callers.request_id(request)
        if response.length is not None:
            self._response.content_length = response.length

    async def run(
        self, active_request: active_requests.ActiveRequest, deadline: float
    ) -> web.StreamResponse:
        """Relays the body as it arrives.

        An incomplete response is never terminated as if it were complete: the
        connection to the caller is closed, for event streams after an error
        event.

        Args:
            active_request: The request, which the gateway may cancel.
            deadline: Time by which the response must be complete.
        """
        try:
            async with asyncio.timeout_at(deadline):
                await self._send_body()
        except forward.AnswerLost as error:
            if not error.timed_out:
                self._attempt.report_broken_response()
            self._abort(attempts.answer_lost_refusal(error, started=True))
        except TimeoutError:
            self._abort(
                refusal.Refusal(
                    "the answer was not complete before the deadline",
                    status=504,
                    code="deadline_exceeded",
                    not_run=False,
                    step="relay",
                )
            )
        except asyncio.CancelledError:
            reason = active_request.take_cancel_reason()
            if reason is None:
                raise
            self._abort(refusal.for_cancelled_request(reason, not_run=False))
        return self._response

    async def _send_body(self) -> None:
        response = self._response
        await response.prepare(self._request)
        async for chunk in self._attempt.response.chunks():
            await response.write(chunk)
            self.tail = (
                chunk[-_TAIL_BYTES:]
                if len(chunk) >= _TAIL_BYTES
                else (self.tail + chunk)[-_TAIL_BYTES:]
            )
        if (
            response.content_type == _EVENT_STREAM
            and event_stream.is_inside_event(self.tail)
        ):
            raise forward.AnswerLost(
                "the stream ends inside an event",
                step="read",
                peer=self._attempt.response.peer,
            )
        await response.write_eof()
        self.complete = True

    def _abort(self, reason: refusal.Refusal) -> None:
        transport = self._request.transport
        if transport is None:
            return
        self._response.force_close()
        if not self._response.prepared:
            # The middleware responds with the refusal.
            raise reason
        if self._response.content_type != _EVENT_STREAM:
            transports.break_off(
                transport,
                ends_with_close=self._response.content_length is None
                and self._request.version < aiohttp.HttpVersion11,
            )
            return
        document = reason.document(callers.request_id(self._request))
        event = b"event: error\ndata: %b\n\n" % json.dumps(document).encode()
        if not self.tail.endswith(_EVENT_ENDS):
            event = b"\n\n" + event
        # The last chunk is omitted, so that the caller detects a truncated
        # response. The transport flushes its buffer before it closes; it is
        # aborted after 1 s if the caller does not read.
        if "Transfer-Encoding" in self._response.headers:
            event = b"%x\r\n%b\r\n" % (len(event), event)
        transport.write(event)
        transport.close()
        asyncio.get_running_loop().call_later(1.0, transport.abort)


def reported_usage(tail: bytes, prompt_tokens: int) -> int | None:
    """Returns the total of tokens that an engine reports, or None.

    Args:
        tail: Last bytes of the response body.
        prompt_tokens: Prompt tokens if the engine does not report them.
    """
    usage_ends = [match.end() for match in _USAGE.finditer(tail)]
    if not usage_ends:
        return None
    counts = {
        kind: int(n) for kind, n in _TOKEN_COUNT.findall(tail[usage_ends[-1] :])
    }
    if not counts:
        return None
    prompt = counts.get(b"prompt", prompt_tokens)
    return prompt + counts.get(b"completion", 0)
