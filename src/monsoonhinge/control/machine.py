"""Deterministic state machine behind the replicated log."""

import dataclasses
import json
from typing import Any

from monsoonhinge.protocol import commands


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease and the fencing number of its current grant."""

    holder: str
    fencing: int


@dataclasses.dataclass(slots=True)
class Call:
    """Record of a non-repeatable call."""

    digest: bytes
    gateway: str
    claim_id: str
    claimed_ms: int
    state: str = "running"
    status: int = 0
    headers: bytes = b""
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Publication:
    """Who made a configuration version."""

    digest: bytes
    publisher: str


CallKey = tuple[str, str, str]


class Machine:
    """State that is the same on every control member.

    Attributes:
        version: Configuration version in effect.
        objects: Canonical JSON objects by ``kind/name``.
        publications: What was published under each version.
        withdrawn: Hashes of withdrawn keys by key name.
        leases: Leases held, by name.
        calls: Records of non-repeatable calls.
        decisions: Decided replicas by decision id.
        budgets: Latest budget checkpoint of each team.
    """

    def __init__(self) -> None:
        self.version = 0
        self.objects: dict[str, bytes] = {}
        self.publications: dict[int, Publication] = {}
        self.withdrawn: dict[str, str] = {}
        self.leases: dict[str, Lease] = {}
        self.calls: dict[CallKey, Call] = {}
        self.decisions: dict[str, commands.ReplicaChange] = {}
        self.budgets: dict[str, commands.CheckpointBudget] = {}

    def apply(self, index: int, command: commands.Command) -> commands.Result:
        """Applies one committed command.

        Args:
            index: Log index of the command.
            command: The command.
        """
        match command:
            case commands.PublishConfig():
                return self._publish(command)
            case commands.GrantKey():
                return self._grant_key(command)
            case commands.WithdrawKey():
                return self._withdraw_key(command)
            case commands.AcquireLease():
                return self._acquire(index, command)
            case commands.ReleaseLease() | commands.ExpireLease():
                return self._end_lease(command.name, command.fencing)
            case commands.ClaimCall():
                return self._claim(command)
            case commands.FinishCall():
                return self._finish(command)
            case commands.AbandonCalls():
                for call in self.calls.values():
                    if (
                        call.gateway == command.gateway
                        and call.state == "running"
                    ):
                        call.state = "unknown"
                return commands.Accepted(accepted=True)
            case commands.DropCalls():
                for key, call in list(self.calls.items()):
                    if call.claimed_ms < command.before_ms:
                        del self.calls[key]
                return commands.Accepted(accepted=True)
            case commands.DecideReplicas():
                return self._decide(command)
            case commands.CheckpointBudget():
                return self._checkpoint(command)

    def document(self, section: str) -> dict[str, Any]:
        """Returns one section as a JSON-compatible document."""
        match section:
            case "config":
                return {
                    "version": self.version,
                    "objects": [json.loads(o) for o in self.objects.values()],
                }
            case "leases":
                return {
                    name: dataclasses.asdict(lease)
                    for name, lease in self.leases.items()
                }
            case "decisions":
                return {
                    name: dataclasses.asdict(change)
                    for name, change in self.decisions.items()
                }
            case "budgets":
                return {
                    name: dataclasses.asdict(checkpoint)
                    for name, checkpoint in self.budgets.items()
                }
            case _:
                return {}

    def _publish(
        self, command: commands.PublishConfig
    ) -> commands.ConfigResult:
        previous = self.publications.get(command.version)
        if previous is not None:
            return self._repeated(command.version, command.digest, previous)
        if command.version != self.version + 1:
            return commands.ConfigResult(
                code="conflict",
                message=f"version {self.version} is in effect",
                version=self.version,
            )
        objects = {
            _object_id(json.loads(data)): data for data in command.objects
        }
        for object_id, data in self.objects.items():
            if object_id.startswith("key/"):
                team = json.loads(data)["team"]
                if f"team/{team}" not in objects:
                    return commands.ConfigResult(
                        code="invalid",
                        message=f"{object_id}: team: team/{team} is missing",
                        version=self.version,
                    )
                objects[object_id] = data
        return self._advance(objects, command.digest, command.publisher)

    def _repeated(
        self, version: int, digest: bytes, previous: Publication
    ) -> commands.ConfigResult:
        same = previous.digest == digest
        return commands.ConfigResult(
            code="accepted" if same else "conflict",
            message=""
            if same
            else f"version {version} was published by {previous.publisher}",
            version=version,
            publisher=previous.publisher,
            digest=previous.digest,
        )

    def _advance(
        self, objects: dict[str, bytes], digest: bytes, publisher: str
    ) -> commands.ConfigResult:
        self.version += 1
        self.objects = objects
        self.publications[self.version] = Publication(digest, publisher)
        return commands.ConfigResult(
            code="accepted",
            version=self.version,
            publisher=publisher,
            digest=digest,
        )

    def _grant_key(self, command: commands.GrantKey) -> commands.ConfigResult:
        object_id = f"key/{command.name}"
        document = {
            "kind": "key",
            "name": command.name,
            "team": command.team,
            "hash": command.hash,
        }
        data = json.dumps(
            document, sort_keys=True, separators=(",", ":")
        ).encode()
        if self.objects.get(object_id) == data:
            return commands.ConfigResult(code="accepted", version=self.version)
        problem = ""
        if f"team/{command.team}" not in self.objects:
            problem = f"team/{command.team} does not exist"
        elif command.hash in self.withdrawn.values():
            problem = "this key was withdrawn"
        elif object_id in self.objects:
            problem = f"{object_id} exists already"
        if problem:
            return commands.ConfigResult(
                code="invalid", message=problem, version=self.version
            )
        return self._advance(
            {**self.objects, object_id: data}, b"", command.publisher
        )

    def _withdraw_key(
        self, command: commands.WithdrawKey
    ) -> commands.ConfigResult:
        object_id = f"key/{command.name}"
        data = self.objects.get(object_id)
        if data is None:
            known = command.name in self.withdrawn
            return commands.ConfigResult(
                code="accepted" if known else "invalid",
                message="" if known else f"{object_id} does not exist",
                version=self.version,
            )
        self.withdrawn[command.name] = json.loads(data)["hash"]
        objects = dict(self.objects)
        del objects[object_id]
        return self._advance(objects, b"", command.publisher)

    def _acquire(
        self, index: int, command: commands.AcquireLease
    ) -> commands.LeaseResult:
        lease = self.leases.get(command.name)
        if lease is None:
            lease = Lease(holder=command.holder, fencing=index)
            self.leases[command.name] = lease
        return commands.LeaseResult(
            granted=lease.holder == command.holder,
            holder=lease.holder,
            fencing=lease.fencing,
        )

    def _end_lease(self, name: str, fencing: int) -> commands.Accepted:
        lease = self.leases.get(name)
        if lease is not None and lease.fencing == fencing:
            del self.leases[name]
        return commands.Accepted(accepted=True)

    def _claim(self, command: commands.ClaimCall) -> commands.CallResult:
        key = (command.team, command.route, command.key)
        call = self.calls.get(key)
        if call is None:
            self.calls[key] = Call(
                digest=command.digest,
                gateway=command.gateway,
                claim_id=command.claim_id,
                claimed_ms=command.now_ms,
            )
            return commands.CallResult(code="won")
        if call.digest != command.digest:
            return commands.CallResult(code="conflict")
        if call.state == "running" and call.claim_id == command.claim_id:
            return commands.CallResult(code="won")
        return commands.CallResult(
            code=call.state,
            status=call.status,
            headers=call.headers,
            body=call.body,
        )

    def _finish(self, command: commands.FinishCall) -> commands.CallResult:
        key = (command.team, command.route, command.key)
        call = self.calls.get(key)
        if call is None or call.claim_id != command.claim_id:
            return commands.CallResult(code="unknown")
        if command.state == "released":
            if call.state == "running":
                del self.calls[key]
            return commands.CallResult(code="recorded")
        call.state = command.state
        call.status = command.status
        call.headers = command.headers
        call.body = command.body
        return commands.CallResult(code="recorded")

    def _decide(self, command: commands.DecideReplicas) -> commands.Accepted:
        if not self._holds("scheduler", command.fencing):
            return commands.Accepted(reason="old fencing number")
        for change in command.changes:
            if change.action == "settled":
                self.decisions.pop(change.decision_id, None)
            else:
                self.decisions[change.decision_id] = change
        return commands.Accepted(accepted=True)

    def _checkpoint(
        self, command: commands.CheckpointBudget
    ) -> commands.Accepted:
        if not self._holds(command.shard, command.fencing):
            return commands.Accepted(reason="old fencing number")
        self.budgets[command.team] = command
        return commands.Accepted(accepted=True)

    def _holds(self, lease_name: str, fencing: int) -> bool:
        lease = self.leases.get(lease_name)
        return lease is not None and lease.fencing == fencing


def _object_id(document: dict[str, Any]) -> str:
    return f"{document['kind']}/{document['name']}"
