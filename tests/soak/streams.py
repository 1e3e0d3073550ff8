"""Callers that resume broken streams."""

import asyncio
import itertools
import random

from tests.soak import http11
from tests.soak import record as records
from tests.soak import stream_record

_DEADLINE_S = 4.0
_ATTEMPTS = 4
_RETRY_DELAY_S = 0.1
_LEAVES_SHARE = 0.3

_numbers = itertools.count()


class StreamCaller:
    """Reads one stream after the other until it is cancelled."""

    def __init__(
        self,
        *,
        gateways: list[str],
        record: records.Record,
        key: str,
        rng: random.Random,
    ) -> None:
        self._gateways = gateways
        self._record = record
        self._key = key
        self._rng = rng

    async def run(self) -> None:
        """Reads streams; runs until cancelled."""
        while True:
            stream = stream_record.Stream(
                path=f"{stream_record.PREFIX}{next(_numbers)}"
            )
            self._record.streams.append(stream)
            for _ in range(_ATTEMPTS):
                await self._read(stream)
                if stream.is_complete:
                    break
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _read(self, stream: stream_record.Stream) -> None:
        """Sends a request for the rest of a stream and reads its events."""
        request_id = f"s{next(_numbers):08x}"
        stream.attempts[request_id] = 0
        call = records.Call(
            request_id=request_id,
            method="POST",
            path=stream.path,
            repeatable=True,
            gateway=self._rng.choice(self._gateways),
            sent_at=asyncio.get_running_loop().time(),
        )
        self._record.calls[request_id] = call
        patience_s = _DEADLINE_S
        if self._rng.random() < _LEAVES_SHARE:
            patience_s = self._rng.uniform(0.05, 0.4)
        connection = None
        try:
            async with asyncio.timeout(patience_s):
                connection = await http11.Connection.open(call.gateway)
                await self._read_events(connection, stream, request_id)
        except http11.MalformedResponseError as error:
            call.malformed_head = str(error)
        except (OSError, EOFError, TimeoutError) as error:
            call.error = type(error).__name__
            call.ended_at = asyncio.get_running_loop().time()
        finally:
            if connection is not None:
                connection.close()

    async def _read_events(
        self,
        connection: http11.Connection,
        stream: stream_record.Stream,
        request_id: str,
    ) -> None:
        headers = {
            "Host": "soak.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(_DEADLINE_S * 1000)),
            "Authorization": f"Bearer {self._key}",
        }
        if stream.events:
            headers["Last-Event-Id"] = str(stream.events[-1])
            headers["Resumes"] = stream.first_request_id
        text = b""
        async for status, chunk in connection.stream(
            "POST", stream.path, headers, b"kegs"
        ):
            stream.attempts[request_id] = status
            if status != 200:
                return
            text += chunk
            text = stream.add(text, request_id)
