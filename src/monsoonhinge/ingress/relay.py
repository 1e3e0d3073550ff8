"""Relays the responses of targets to the caller."""

import asyncio

from aiohttp import web

from monsoonhinge.gateway import forward
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import target_client
from monsoonhinge.targets import event_stream


class Relay:
    """The response to a caller, made of the responses of one or more targets.

    Attributes:
        response: The response to the caller, once sending has started.
        last_event_id: Id of the last event that was relayed.
        first_byte_at: When the response to the caller started, or None.
        event_relayed_at: When the current target's first event was relayed,
            or None.
    """

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        request_dialect: dialect.Dialect,
        close_connection: bool,
        last_event_id: str,
    ) -> None:
        self.response: web.StreamResponse | None = None
        self.last_event_id = last_event_id
        self.first_byte_at: float | None = None
        self.event_relayed_at: float | None = None
        self._request = request
        self._dialect = request_dialect
        self._close_connection = close_connection
        self._loop = asyncio.get_running_loop()

    async def relay_buffered(
        self, target_response: target_client.TargetResponse
    ) -> web.Response:
        """Reads a response completely and returns it for the caller.

        Raises:
            forward.AnswerLost: The response is incomplete, or a stream to the
                caller has started that it cannot continue.
        """
        self.event_relayed_at = None
        body = await target_response.body()
        if self.response is not None:
            raise forward.AnswerLost(
                f"status {target_response.status} instead of the rest of the "
                "stream",
                step="resume",
                peer=target_response.peer,
            )
        self.first_byte_at = self._loop.time()
        return web.Response(
            status=target_response.status,
            body=body,
            headers=self._dialect.response_headers(target_response.headers),
        )

    async def relay_stream(
        self,
        target_response: target_client.TargetResponse,
        *,
        deadline: float,
        event_timeout_s: float | None,
    ) -> web.StreamResponse:
        """Relays the events of a stream as they arrive.

        Args:
            target_response: Response whose body is an event stream.
            deadline: When the stream must have ended, in event loop seconds.
            event_timeout_s: Longest time without data, or None for no limit.

        Raises:
            forward.AnswerLost: The stream was interrupted, stalled, ends
                inside an event, or has an event that is too large.
        """
        self.event_relayed_at = None
        splitter = event_stream.EventSplitter()
        chunks = target_response.chunks()
        while True:
            read_deadline = deadline
            if event_timeout_s is not None:
                read_deadline = min(
                    read_deadline, self._loop.time() + event_timeout_s
                )
            try:
                async with asyncio.timeout_at(read_deadline):
                    chunk = await anext(chunks, None)
                    for event in splitter.feed(chunk or b""):
                        await self._relay_event(target_response, event)
            except TimeoutError as error:
                raise forward.AnswerLost(
                    "the stream stalled",
                    step="read",
                    peer=target_response.peer,
                    timed_out=True,
                ) from error
            except event_stream.Oversized as error:
                raise forward.AnswerLost(
                    "an event of the stream is too large",
                    step="read",
                    peer=target_response.peer,
                ) from error
            if chunk is None:
                break
        if event_stream.is_inside_event(splitter.remainder):
            raise forward.AnswerLost(
                "the stream ends inside an event",
                step="read",
                peer=target_response.peer,
            )
        response = await self._start_response(target_response)
        await response.write_eof()
        return response

    async def _relay_event(
        self,
        target_response: target_client.TargetResponse,
        event: event_stream.Event,
    ) -> None:
        if event.event_id and _event_number(event.event_id) <= _event_number(
            self.last_event_id
        ):
            return
        response = await self._start_response(target_response)
        await response.write(event.data)
        if self.event_relayed_at is None:
            self.event_relayed_at = self._loop.time()
        if event.event_id:
            self.last_event_id = event.event_id

    async def _start_response(
        self, target_response: target_client.TargetResponse
    ) -> web.StreamResponse:
        if self.response is None:
            headers = self._dialect.response_headers(target_response.headers)
            headers.popall("Content-Length", None)
            self.response = web.StreamResponse(status=200, headers=headers)
            if self._close_connection:
                self.response.force_close()
                self.response.headers["Connection"] = "close"
            self.first_byte_at = self._loop.time()
            await self.response.prepare(self._request)
        return self.response


def _event_number(event_id: str) -> int:
    return int(event_id) if event_id.isdecimal() else -1


class BrokenOff(Exception):
    """The response was interrupted after a part of it was sent."""
