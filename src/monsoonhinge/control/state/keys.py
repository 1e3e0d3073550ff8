"""Granted and withdrawn caller keys."""

from collections.abc import Iterator
import dataclasses
import hashlib
import json
from typing import Any

from monsoonhinge.control.state import configuration
from monsoonhinge.control.state import rows
from monsoonhinge.protocol import commands

# Limits the part of the configuration that publications do not contain.
MAX_KEYS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A key in effect and the configuration version that added it."""

    team: str
    hash: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tombstone:
    """A withdrawn key and the configuration version that removed it."""

    name: str
    version: int


class Keys:
    """Caller keys in effect and tombstones of withdrawn keys.

    Attributes:
        grants: Keys in effect by name.
        tombstones: Withdrawn keys by keyed hash. They are kept permanently,
            so that a withdrawn hash is never granted again.
    """

    def __init__(self) -> None:
        self.grants: dict[str, Grant] = {}
        self.tombstones: dict[str, Tombstone] = {}
        self._names: dict[str, str] = {}

    def grant(
        self,
        config: configuration.Configuration,
        command: commands.GrantKey,
    ) -> commands.ConfigResult:
        """Adds a key as a new configuration version."""
        existing = self.grants.get(command.name)
        if existing is not None:
            if (existing.team, existing.hash) == (command.team, command.hash):
                return config.accepted(existing.version)
            return config.conflict(
                existing.version, f"key/{command.name} exists already"
            )
        problem = self._problem(config, command)
        if problem:
            return config.invalid(f"key/{command.name}: {problem}")
        data = _encode(command)
        result = config.install_version(
            {**config.objects, f"key/{command.name}": data},
            hashlib.sha256(b"grant " + data).digest(),
            command.publisher,
        )
        self.grants[command.name] = Grant(
            command.team, command.hash, result.version
        )
        self._names[command.hash] = command.name
        return result

    def withdraw(
        self,
        config: configuration.Configuration,
        command: commands.WithdrawKey,
    ) -> commands.ConfigResult:
        """Removes a key as a new configuration version."""
        grant = self.grants.get(command.name)
        if grant is None or command.hash not in ("", grant.hash):
            return self._earlier_withdrawal(config, command)
        object_id = f"key/{command.name}"
        objects = dict(config.objects)
        data = objects.pop(object_id)
        result = config.install_version(
            objects,
            hashlib.sha256(b"withdraw " + data).digest(),
            command.publisher,
        )
        del self.grants[command.name]
        del self._names[grant.hash]
        self.tombstones[grant.hash] = Tombstone(command.name, result.version)
        return result

    def document(self) -> dict[str, Any]:
        """Returns team, keyed hash and version of each key in effect."""
        return {
            name: dataclasses.asdict(grant)
            for name, grant in self.grants.items()
        }

    def to_rows(self) -> Iterator[rows.Row]:
        """Yields the rows of the snapshot."""
        yield [len(self.grants)], b""
        for name, grant in self.grants.items():
            yield [name, grant.team, grant.hash, grant.version], b""
        for key_hash, tombstone in self.tombstones.items():
            yield [key_hash, tombstone.name, tombstone.version], b""

    @classmethod
    def from_rows(cls, table: Iterator[rows.Row]) -> "Keys":
        """Reads what ``to_rows`` yielded."""
        result = cls()
        (count,), _ = next(table)
        for _ in range(count):
            (name, team, key_hash, version), _ = next(table)
            result.grants[name] = Grant(team, key_hash, version)
            result._names[key_hash] = name
        for (key_hash, name, version), _ in table:
            result.tombstones[key_hash] = Tombstone(name, version)
        return result

    def _problem(
        self,
        config: configuration.Configuration,
        command: commands.GrantKey,
    ) -> str:
        if command.hash in self.tombstones:
            return "hash: this key was withdrawn"
        if command.hash in self._names:
            # With two names the key would remain valid after the withdrawal of
            # one of them.
            return f"hash: is that of key/{self._names[command.hash]}"
        if f"team/{command.team}" not in config.objects:
            return f"team: team/{command.team} does not exist"
        if not command.name or not command.hash:
            return "name and hash must not be empty"
        if len(self.grants) >= MAX_KEYS:
            return f"there are {MAX_KEYS} keys already"
        return ""

    def _earlier_withdrawal(
        self,
        config: configuration.Configuration,
        command: commands.WithdrawKey,
    ) -> commands.ConfigResult:
        for key_hash, tombstone in reversed(self.tombstones.items()):
            if tombstone.name == command.name and command.hash in (
                "",
                key_hash,
            ):
                return config.accepted(tombstone.version)
        return config.invalid(f"key/{command.name} does not exist")


def _encode(command: commands.GrantKey) -> bytes:
    document = {
        "kind": "key",
        "name": command.name,
        "team": command.team,
        "hash": command.hash,
    }
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()
