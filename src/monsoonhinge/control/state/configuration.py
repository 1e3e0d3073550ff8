"""Configuration in effect and the history of its versions."""

from collections.abc import Iterator
import dataclasses
import json
from typing import Any

from monsoonhinge.config import digest as config_digest
from monsoonhinge.config import pack
from monsoonhinge.control.state import rows
from monsoonhinge.protocol import commands

# A resent publication is recognized while its version is in the history. 1,000
# versions cover ten hours at 2,400 changes a day.
HISTORY_VERSIONS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """Origin of a configuration version: content digest and publisher."""

    digest: bytes
    publisher: str


class Configuration:
    """Versioned configuration.

    Attributes:
        version: Version in effect; 0 before the first.
        objects: Canonical JSON objects by ``kind/name``, including keys. The
            dictionary is replaced on every change, never modified in place.
        history: Latest publications by version, oldest first.
        source: Compressed document from which the objects in effect were
            generated; empty if they were published as objects.
    """

    def __init__(self) -> None:
        self.version = 0
        self.objects: dict[str, bytes] = {}
        self.history: dict[int, Publication] = {}
        self.source = b""

    def publish(self, command: commands.PublishConfig) -> commands.ConfigResult:
        """Replaces all objects except the keys.

        The objects are validated before the command is proposed. The checks
        here depend on the state or reject an incompletely transferred
        configuration.
        """
        if 0 < command.version <= self.version:
            return self._resolve_resend(command)
        if command.version != self.version + 1:
            return self.conflict(
                self.version, f"version {self.version} is in effect"
            )
        try:
            documents = command.objects or pack.unpack(command.packed)
            objects = _by_id(documents)
        except ValueError as error:
            return self.invalid(str(error))
        if config_digest.digest(documents) != command.digest:
            return self.invalid("the digest does not match the objects")
        for object_id, data in self.objects.items():
            if object_id.startswith("key/"):
                team = f"team/{json.loads(data)['team']}"
                if team not in objects:
                    return self.invalid(
                        f"{object_id}: team: {team} does not exist"
                    )
                objects[object_id] = data
        return self.install_version(objects, command.digest, command.publisher)

    def replace(self, command: commands.ReplaceConfig) -> commands.ConfigResult:
        """Replaces all objects, including keys, if the version is new.

        A change whose version is not higher than the one in effect counts as
        accepted, because a publisher that lost the reply sends it again.
        """
        if command.version <= self.version:
            return self.accepted(self.version)
        try:
            documents = pack.unpack(command.packed)
            objects = _by_id(documents, allow_keys=True)
        except ValueError as error:
            return self.invalid(str(error))
        # ``install_version`` increments the version to the requested one.
        self.version = command.version - 1
        digest = config_digest.digest(documents)
        result = self.install_version(objects, digest, command.publisher)
        self.source = command.source
        return result

    def install_version(
        self, objects: dict[str, bytes], digest: bytes, publisher: str
    ) -> commands.ConfigResult:
        """Puts the objects in effect as the next version."""
        self.version += 1
        self.objects = objects
        self.source = b""
        self.history[self.version] = Publication(digest, publisher)
        while len(self.history) > HISTORY_VERSIONS:
            del self.history[next(iter(self.history))]
        return self.accepted(self.version)

    def accepted(self, version: int) -> commands.ConfigResult:
        """Returns the result of an accepted change, which is in ``version``."""
        return self._result("accepted", version, "")

    def conflict(self, version: int, message: str) -> commands.ConfigResult:
        """Returns the result of a change that conflicts with ``version``."""
        return self._result("conflict", version, message)

    def invalid(self, message: str) -> commands.ConfigResult:
        """Returns the result of an invalid change."""
        return commands.ConfigResult(
            code="invalid", message=message, version=self.version
        )

    def document(self) -> dict[str, Any]:
        """Returns the configuration in effect as a JSON-compatible document."""
        publication = self.history.get(self.version, Publication(b"", ""))
        return {
            "version": self.version,
            "publisher": publication.publisher,
            "digest": publication.digest.hex(),
            "objects": [json.loads(data) for data in self.objects.values()],
        }

    def to_rows(self) -> Iterator[rows.Row]:
        """Yields the rows of the snapshot."""
        yield [self.version, len(self.history)], self.source
        for version, publication in self.history.items():
            yield [version, publication.publisher], publication.digest
        for object_id, data in self.objects.items():
            yield [object_id], data

    @classmethod
    def from_rows(cls, table: Iterator[rows.Row]) -> "Configuration":
        """Reads what ``to_rows`` yielded."""
        result = cls()
        (result.version, count), result.source = next(table)
        for _ in range(count):
            (version, publisher), digest = next(table)
            result.history[version] = Publication(digest, publisher)
        for (object_id,), data in table:
            result.objects[object_id] = data
        return result

    def _resolve_resend(
        self, command: commands.PublishConfig
    ) -> commands.ConfigResult:
        publication = self.history.get(command.version)
        if publication is None:
            return self.conflict(
                command.version,
                f"version {command.version} is older than the history; "
                f"version {self.version} is in effect",
            )
        if publication.digest == command.digest:
            return self.accepted(command.version)
        return self.conflict(
            command.version,
            f"version {command.version} was published by "
            f"{publication.publisher} with digest "
            f"{publication.digest.hex()[:16]}",
        )

    def _result(
        self, code: str, version: int, message: str
    ) -> commands.ConfigResult:
        publication = self.history.get(version, Publication(b"", ""))
        return commands.ConfigResult(
            code=code,
            message=message,
            version=version,
            publisher=publication.publisher,
            digest=publication.digest,
        )


def _by_id(
    objects: list[bytes], *, allow_keys: bool = False
) -> dict[str, bytes]:
    result: dict[str, bytes] = {}
    for data in objects:
        document = json.loads(data)
        if not isinstance(document, dict):
            raise ValueError("an object is not a JSON object")
        kind, name = document.get("kind"), document.get("name")
        if not isinstance(kind, str) or not isinstance(name, str):
            raise ValueError("an object has no kind or no name")
        object_id = f"{kind}/{name}"
        if kind == "key" and not allow_keys:
            raise ValueError(
                f"{object_id}: keys are changed by key grant and key withdraw"
            )
        if object_id in result:
            raise ValueError(f"{object_id}: name: is defined twice")
        result[object_id] = data
    return result
