"""Relays the responses of targets to the caller."""

import asyncio
from collections.abc import Callable
import dataclasses

from aiohttp import web

from monsoonhinge.gateway import forward
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import stall
from monsoonhinge.ingress import target_client
from monsoonhinge.targets import event_stream


@dataclasses.dataclass(frozen=True, slots=True)
class StallLimits:
    """When a stream that makes no progress is given up.

    Attributes:
        first_event_timeout_s: Longest time until the first event.
        event_timeout_s: Longest time between two events.
        reserve_attempt: Returns whether another attempt is possible.
    """

    first_event_timeout_s: float
    event_timeout_s: float
    reserve_attempt: Callable[[], bool]

    def start_watchdog(self, limit: asyncio.Timeout) -> stall.Watchdog:
        """Returns a running watchdog that makes a timeout expire."""
        return stall.Watchdog(
            limit=limit,
            timeout_s=self.first_event_timeout_s,
            reserve_attempt=self.reserve_attempt,
        )


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
        self._before_first_event: Callable[[], None] = lambda: None
        self._before_later_event: Callable[[], None] = lambda: None
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
        stall_limits: StallLimits | None = None,
        before_first_event: Callable[[], None] = lambda: None,
        before_later_event: Callable[[], None] = lambda: None,
    ) -> web.StreamResponse:
        """Relays the events of a stream as they arrive.

        Args:
            target_response: Response whose body is an event stream.
            deadline: When the stream must have ended, in event loop seconds.
            stall_limits: When the stream is given up for another attempt, or
                None if there is none.
            before_first_event: Called before the first event of the response
                is sent to the caller. What it raises ends the stream.
            before_later_event: The same before each later one.

        Raises:
            stall.Stalled: The stream made no progress, and another attempt
                was reserved.
            forward.AnswerLost: The stream was interrupted, did not end before
                the deadline, ends inside an event, or has an event that is
                too large.
        """
        self.event_relayed_at = None
        self._before_first_event = before_first_event
        self._before_later_event = before_later_event
        watchdog = None
        try:
            async with asyncio.timeout_at(deadline) as limit:
                if stall_limits is not None:
                    watchdog = stall_limits.start_watchdog(limit)
                await self._relay_events(
                    target_response, stall_limits, watchdog
                )
        except TimeoutError as error:
            if watchdog is not None and watchdog.fired:
                raise stall.Stalled(
                    "the stream stalled", step="read", peer=target_response.peer
                ) from error
            raise forward.AnswerLost(
                "the stream did not end in time",
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
        finally:
            if watchdog is not None:
                watchdog.stop()
        response = await self._start_response(target_response)
        await response.write_eof()
        return response

    async def _relay_events(
        self,
        target_response: target_client.TargetResponse,
        stall_limits: StallLimits | None,
        watchdog: stall.Watchdog | None,
    ) -> None:
        """Relays all events; only whole events with data are progress."""
        splitter = event_stream.EventSplitter()
        async for chunk in target_response.chunks():
            for event in splitter.feed(chunk):
                if watchdog is not None:
                    watchdog.pause()
                await self._relay_event(target_response, event)
                if watchdog is None or stall_limits is None:
                    continue
                watchdog.resume(progressed=event.has_data)
                if event.has_data:
                    watchdog.set_timeout(stall_limits.event_timeout_s)
        if event_stream.is_inside_event(splitter.remainder):
            raise forward.AnswerLost(
                "the stream ends inside an event",
                step="read",
                peer=target_response.peer,
            )

    async def _relay_event(
        self,
        target_response: target_client.TargetResponse,
        event: event_stream.Event,
    ) -> None:
        if event.event_id and _event_number(event.event_id) <= _event_number(
            self.last_event_id
        ):
            return
        if self.event_relayed_at is None:
            self._before_first_event()
        else:
            self._before_later_event()
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
