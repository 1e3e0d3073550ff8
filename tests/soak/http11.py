"""HTTP/1.1 messages whose bytes and connections the soak controls itself."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import re

_MAX_HEAD_BYTES = 2**20

_RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2} [\t\x20-\x7e]*\r\n"
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e]*\r\n)*\r\n"
)


class MalformedResponseError(Exception):
    """The head of a response is no head of HTTP/1."""


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A request or a response with its whole body.

    Attributes:
        start: Start line.
        headers: Headers by lowercase name.
        body: Body without chunk framing.
    """

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split()[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split()[0]

    @property
    def path(self) -> str:
        """Path of a request, with its query."""
        return self.start.split()[1]


class Connection:
    """A connection of a client."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "Connection":
        """Connects to ``host:port``.

        Raises:
            OSError: Nothing listens there.
        """
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Message:
        """Sends a request and returns the whole response.

        Raises:
            OSError, EOFError: The response is missing or incomplete.
            MalformedResponseError: The head of the response is malformed.
        """
        fields = {"Host": "h", "Content-Length": str(len(body))} | headers
        self._writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
        await self._writer.drain()
        return await read_message(self._reader, answers=method)

    async def stream(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> AsyncIterator[tuple[int, bytes]]:
        """Sends a request and yields its status with each chunk of the body.

        Raises:
            OSError, EOFError: The response is missing or incomplete.
            MalformedResponseError: The head of the response is malformed.
        """
        fields = {"Host": "h", "Content-Length": str(len(body))} | headers
        self._writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
        await self._writer.drain()
        head = await _read_head(self._reader, answers=method)
        yield head.status, b""
        if "chunked" in head.headers.get("transfer-encoding", "").lower():
            async for chunk in _chunks(self._reader):
                yield head.status, chunk

    def close(self) -> None:
        """Closes the connection at once."""
        self._writer.transport.abort()


def encode(start: str, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_message(
    reader: asyncio.StreamReader, *, answers: str = ""
) -> Message:
    """Reads a message.

    Args:
        reader: Stream to read from.
        answers: Method of the request that a response answers.

    Raises:
        EOFError: The stream ended before the message was complete.
        MalformedResponseError: The head of a response is malformed.
    """
    message = await _read_head(reader, answers=answers)
    headers = message.headers
    body = b""
    if answers == "HEAD":
        pass
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", "").lower():
        body = b"".join([chunk async for chunk in _chunks(reader)])
    return dataclasses.replace(message, body=body)


async def _read_head(reader: asyncio.StreamReader, *, answers: str) -> Message:
    """Reads the head of a message; its body is empty."""
    head = await reader.readuntil(b"\r\n\r\n")
    if answers and not _RESPONSE_HEAD.fullmatch(head):
        raise MalformedResponseError(repr(head))
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers, b"")


async def _chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    while size := int(await _read_line(reader), 16):
        yield await reader.readexactly(size)
        await _read_line(reader)
    await _read_line(reader)


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    line = await reader.readline()
    if not line:
        raise EOFError
    return line
