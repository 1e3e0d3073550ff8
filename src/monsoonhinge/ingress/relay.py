"""Passes the answer of a target on to the caller."""

import asyncio

from aiohttp import web

from monsoonhinge.gateway import forward
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import stream
from monsoonhinge.ingress import upstream


class Relay:
    """One answer to a caller, made of the answers of one or more targets.

    Attributes:
        response: The response, once a part of it was sent.
        last_event_id: Id of the last event that was passed on.
        first_byte_at: When the answer began.
    """

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        wire: dialect.Dialect,
        closing: bool,
        last_event_id: str,
    ) -> None:
        self.response: web.StreamResponse | None = None
        self.last_event_id = last_event_id
        self.first_byte_at: float | None = None
        self._request = request
        self._dialect = wire
        self._closing = closing
        self._loop = asyncio.get_running_loop()

    async def pass_whole(self, answer: upstream.Answer) -> web.Response:
        """Returns the response for an answer that is read as a whole.

        Raises:
            forward.AnswerLost: It broke off, or cannot follow what was sent.
        """
        body = await answer.body()
        if self.response is not None:
            raise forward.AnswerLost(
                f"status {answer.status} instead of the rest of a stream",
                step="resume",
                peer=answer.peer,
            )
        self.first_byte_at = self._loop.time()
        return web.Response(
            status=answer.status,
            body=body,
            headers=self._dialect.answer_headers(answer.headers),
        )

    async def pass_stream(
        self, answer: upstream.Answer, *, deadline: float, gap_s: float | None
    ) -> web.StreamResponse:
        """Passes the events of a stream on as they arrive.

        Args:
            answer: The stream.
            deadline: When it must have ended.
            gap_s: Longest silence, or None for any.

        Raises:
            forward.AnswerLost: It broke off or fell silent.
        """
        splitter = stream.Splitter()
        chunks = answer.chunks()
        while True:
            limit = deadline
            if gap_s is not None:
                limit = min(limit, self._loop.time() + gap_s)
            try:
                async with asyncio.timeout_at(limit):
                    chunk = await anext(chunks, None)
                    for event in splitter.feed(chunk or b""):
                        await self._pass_event(answer, event)
            except (TimeoutError, stream.Oversized) as error:
                raise forward.AnswerLost(
                    "no event in time",
                    step="read",
                    peer=answer.peer,
                    timed_out=True,
                ) from error
            if chunk is None:
                break
        response = await self._begin(answer)
        if splitter.rest:
            await response.write(splitter.rest)
        await response.write_eof()
        return response

    async def _pass_event(
        self, answer: upstream.Answer, event: stream.Event
    ) -> None:
        if event.event_id and _position(event.event_id) <= _position(
            self.last_event_id
        ):
            return
        response = await self._begin(answer)
        await response.write(event.data)
        if event.event_id:
            self.last_event_id = event.event_id

    async def _begin(self, answer: upstream.Answer) -> web.StreamResponse:
        if self.response is None:
            headers = self._dialect.answer_headers(answer.headers)
            headers.popall("Content-Length", None)
            self.response = web.StreamResponse(status=200, headers=headers)
            if self._closing:
                self.response.force_close()
                self.response.headers["Connection"] = "close"
            self.first_byte_at = self._loop.time()
            await self.response.prepare(self._request)
        return self.response


def _position(event_id: str) -> int:
    return int(event_id) if event_id.isdecimal() else -1


class BrokenOff(Exception):
    """An answer broke off after a part of it was sent."""
