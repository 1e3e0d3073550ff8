"""Blocking HTTP client for callers that do not run an event loop."""

from collections.abc import Iterator
import dataclasses
import http.client
import json
from typing import Any
import urllib.parse


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: The complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def text(self) -> str:
        """The body, decoded as UTF-8."""
        return self.body.decode()

    @property
    def error(self) -> dict[str, Any]:
        """The error object of a refusal; empty if there is none."""
        if self.status < 400:
            return {}
        error: dict[str, Any] = json.loads(self.body).get("error", {})
        return error

    @property
    def code(self) -> str:
        """The error code of a refusal; "" if there is none."""
        return str(self.error.get("code", ""))


class StreamedResponse:
    """An HTTP response whose body is read as it arrives.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
    """

    def __init__(
        self,
        url: str,
        *,
        method: str = "POST",
        body: Any = None,
        key: str = "",
        headers: dict[str, str] | None = None,
        timeout: float = 30.0,
    ) -> None:
        """Sends a request and waits for the headers of the response.

        Args:
            url: URL with path.
            method: HTTP method.
            body: Request body, encoded as JSON unless it is bytes.
            key: Caller key, or "" for none.
            headers: Additional request headers.
            timeout: Timeout of each socket operation, in seconds.

        Raises:
            OSError: The connection failed or an operation timed out.
            http.client.HTTPException: The response is not valid HTTP.
        """
        parts = urllib.parse.urlsplit(url)
        self._connection = http.client.HTTPConnection(
            parts.hostname or "", parts.port, timeout=timeout
        )
        request_headers = {
            "Content-Type": "application/json",
            **(headers or {}),
        }
        if key:
            request_headers["Authorization"] = f"Bearer {key}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self._connection.request(
            method,
            parts.path + (f"?{parts.query}" if parts.query else ""),
            body=None if body is None else data,
            headers=request_headers,
        )
        self._response = self._connection.getresponse()
        self.status = self._response.status
        self.headers = {
            name.lower(): value
            for name, value in self._response.headers.items()
        }

    def lines(self) -> Iterator[bytes]:
        """Yields the lines of the body as they arrive."""
        while line := self._response.readline():
            yield line

    def read(self) -> Response:
        """Reads the rest of the body and closes the connection.

        Raises:
            http.client.IncompleteRead: The body was truncated.
        """
        body = self._response.read()
        self.close()
        return Response(status=self.status, headers=self.headers, body=body)

    def close(self) -> None:
        """Closes the connection without reading the rest of the body."""
        self._connection.close()


def send(url: str, **fields: Any) -> Response:
    """Sends a request and returns the complete response.

    Args:
        url: URL with path.
        **fields: Further arguments of ``StreamedResponse``.
    """
    return StreamedResponse(url, **fields).read()
