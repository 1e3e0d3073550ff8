"""What callers got of streams that they resume, and the checks of it."""

import dataclasses
import re

PREFIX = "/resumed/"
EVENT_COUNT = 20
SOFTWARE_VERSIONS = ("v1", "v2")

_EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)\n\n")


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream, made of the answers to one or more requests.

    Attributes:
        path: Its path.
        attempts: Ids of the requests, with the status of each response.
        first_request_id: Request whose response brought the first event.
        events: Numbers of the events, in order of arrival.
        versions: Software versions that wrote them.
    """

    path: str
    attempts: dict[str, int] = dataclasses.field(default_factory=dict)
    first_request_id: str = ""
    events: list[int] = dataclasses.field(default_factory=list)
    versions: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether all events have arrived."""
        return len(self.events) == EVENT_COUNT

    @property
    def resumed(self) -> int:
        """Number of requests that took it up and brought further events."""
        return sum(status == 200 for status in list(self.attempts.values())[1:])

    def add(self, text: bytes, request_id: str) -> bytes:
        """Adds the events of a text; returns the incomplete rest of it.

        Args:
            text: Text of the response to a request.
            request_id: Id of that request.
        """
        while match := _EVENT.match(text):
            text = text[match.end() :]
            self.first_request_id = self.first_request_id or request_id
            self.events.append(int(match[1]))
            self.versions.add(match[2].decode())
        return text

    def violations(self) -> list[str]:
        """Returns a line for each broken rule."""
        lines = []
        if len(self.versions) > 1:
            lines.append(f"ORDER two versions in {self}")
        if self.events != list(range(len(self.events))):
            lines.append(f"ORDER an event is missing or repeated in {self}")
        return lines


def event(number: int, software_version: str) -> bytes:
    """Returns an event that a target of a version writes."""
    return f"id: {number}\ndata: {software_version}\n\n".encode()
