"""One request from a caller, without an event loop."""

from collections.abc import Iterator
import dataclasses
import http.client
import json
from typing import Any
import urllib.parse


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What came back.

    Attributes:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: Whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def text(self) -> str:
        """The body as text."""
        return self.body.decode()

    @property
    def error(self) -> dict[str, Any]:
        """The error of a refusal; empty if there is none."""
        if self.status < 400:
            return {}
        found: dict[str, Any] = json.loads(self.body).get("error", {})
        return found

    @property
    def code(self) -> str:
        """The code of a refusal; "" if there is none."""
        return str(self.error.get("code", ""))


class Exchange:
    """A request whose answer is read as it arrives.

    Attributes:
        status: HTTP status.
        headers: Headers, names in lower case.
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
        """Sends the request and waits for the headers of the answer.

        Args:
            url: URL with path.
            method: HTTP method.
            body: Body, encoded as JSON unless it is bytes.
            key: Caller key, or "" for none.
            headers: Further headers.
            timeout: Longest silence, in seconds.

        Raises:
            OSError: The connection failed or stayed silent.
            http.client.HTTPException: The answer is not valid HTTP.
        """
        parts = urllib.parse.urlsplit(url)
        self._connection = http.client.HTTPConnection(
            parts.hostname or "", parts.port, timeout=timeout
        )
        sent = {"Content-Type": "application/json", **(headers or {})}
        if key:
            sent["Authorization"] = f"Bearer {key}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self._connection.request(
            method,
            parts.path + (f"?{parts.query}" if parts.query else ""),
            body=None if body is None else data,
            headers=sent,
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

    def read(self) -> Answer:
        """Returns the answer with the rest of the body.

        Raises:
            http.client.IncompleteRead: The body ended early.
        """
        body = self._response.read()
        self.close()
        return Answer(status=self.status, headers=self.headers, body=body)

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()


def send(url: str, **fields: Any) -> Answer:
    """Sends a request and returns the whole answer; see Exchange."""
    return Exchange(url, **fields).read()
