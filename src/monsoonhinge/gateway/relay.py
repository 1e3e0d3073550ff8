"""Passes the answer of a target on to its caller."""

import asyncio
import json
import re

from aiohttp import web

from monsoonhinge.gateway import active_requests
from monsoonhinge.gateway import attempts
from monsoonhinge.gateway import callers
from monsoonhinge.gateway import forward
from monsoonhinge.gateway import refusal

# The usage is at the end of an answer; choices come before it.
_TAIL_BYTES = 4096
_EVENT_STREAM = "text/event-stream"
_USAGE = re.compile(rb'"usage"\s*:\s*\{')
_COUNT = re.compile(rb'"(prompt|completion)_tokens"\s*:\s*(\d{1,12})')


class Relay:
    """One answer on its way to a caller.

    Attributes:
        tail: Last bytes of the body, for the usage report.
        complete: Whether the whole answer was passed on.
    """

    def __init__(
        self, *, request: web.Request, attempt: attempts.Attempt
    ) -> None:
        self.tail = b""
        self.complete = False
        self._request = request
        self._attempt = attempt
        answer = attempt.answer
        self._response = web.StreamResponse(
            status=answer.status, headers=answer.headers
        )
        self._response.headers["X-Request-Id"] = callers.request_id(request)
        if answer.length is not None:
            self._response.content_length = answer.length

    async def run(
        self, active_request: active_requests.ActiveRequest, deadline: float
    ) -> web.StreamResponse:
        """Passes the body on as it arrives.

        A broken answer is never completed: the connection to the caller is
        closed, for event streams after an error event.
        """
        try:
            async with asyncio.timeout_at(deadline):
                await self._pass()
        except forward.AnswerLost as error:
            if not error.timed_out:
                self._attempt.failed()
            self._break_off(attempts.lost(error, started=True))
        except TimeoutError:
            self._break_off(
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
            self._break_off(refusal.unfinished(reason, not_run=False))
        return self._response

    async def _pass(self) -> None:
        response = self._response
        await response.prepare(self._request)
        async for chunk in self._attempt.answer.chunks():
            await response.write(chunk)
            self.tail = (
                chunk[-_TAIL_BYTES:]
                if len(chunk) >= _TAIL_BYTES
                else (self.tail + chunk)[-_TAIL_BYTES:]
            )
        await response.write_eof()
        self.complete = True

    def _break_off(self, reason: refusal.Refusal) -> None:
        transport = self._request.transport
        if transport is None:
            return
        self._response.force_close()
        if not self._response.prepared:
            # Raised to the middleware, which answers with the refusal.
            raise reason
        if self._response.content_type != _EVENT_STREAM:
            transport.abort()
            return
        document = reason.document(callers.request_id(self._request))
        event = b"event: error\ndata: %b\n\n" % json.dumps(document).encode()
        if not self.tail.endswith(b"\n\n"):
            event = b"\n\n" + event
        # Without the last chunk the caller also sees a truncated answer. The
        # transport sends what it holds before it closes; a caller that does
        # not read is cut off.
        if "Transfer-Encoding" in self._response.headers:
            event = b"%x\r\n%b\r\n" % (len(event), event)
        transport.write(event)
        transport.close()
        asyncio.get_running_loop().call_later(1.0, transport.abort)


def usage(tail: bytes, prompt_tokens: int) -> int | None:
    """Returns the tokens that an engine reports at the end of its answer.

    Args:
        tail: Last bytes of the answer.
        prompt_tokens: Used if the engine does not count the prompt.
    """
    found = [match.end() for match in _USAGE.finditer(tail)]
    if not found:
        return None
    counts = {kind: int(n) for kind, n in _COUNT.findall(tail[found[-1] :])}
    if not counts:
        return None
    prompt = counts.get(b"prompt", prompt_tokens)
    return prompt + counts.get(b"completion", 0)
