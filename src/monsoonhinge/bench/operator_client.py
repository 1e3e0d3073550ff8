"""What an operator does to a local cluster, without the command line."""

import asyncio
from collections.abc import Awaitable, Callable
import time
from typing import Any, TypeVar

from monsoonhinge.bench import local_cluster
from monsoonhinge.config import schema
from monsoonhinge.config import validate
from monsoonhinge.config import view
from monsoonhinge.control import client
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.runtime import settings

_TIMEOUT_S = 20.0

_Result = TypeVar("_Result")


class OperatorClient:
    """Publishes configurations and changes keys."""

    def __init__(self, config: settings.Operator, *, name: str) -> None:
        self.config = config
        self.name = name

    @classmethod
    def for_cluster(
        cls, cluster: local_cluster.Cluster, *, name: str = "op"
    ) -> "OperatorClient":
        """Makes an operator of a local cluster."""
        return cls(
            settings.read(cluster.settings_path("operator"), settings.Operator),
            name=name,
        )

    def publish(
        self, version: int, documents: list[dict[str, Any]]
    ) -> commands.ConfigResult:
        """Publishes a set of objects under a version."""
        objects = validate.parse_set(documents)
        return self._propose(
            commands.PublishConfig(
                version=version,
                digest=validate.digest(objects.values()),
                publisher=self.name,
                objects=[schema.canonical(item) for item in objects.values()],
            )
        )

    def grant_key(
        self, *, name: str, team: str, key: str
    ) -> commands.ConfigResult:
        """Adds a caller key."""
        digest = view.key_hash(secret=self.config.key_secret.encode(), key=key)
        return self._propose(
            commands.GrantKey(
                name=name, team=team, hash=digest, publisher=self.name
            )
        )

    def withdraw_key(self, name: str) -> commands.ConfigResult:
        """Withdraws a caller key."""
        return self._propose(
            commands.WithdrawKey(name=name, publisher=self.name)
        )

    def read_section(self, section: str) -> dict[str, Any]:
        """Returns a section of the replicated state."""
        return self._run(
            lambda control: control.read(section, timeout=_TIMEOUT_S)
        )

    def _propose(self, command: commands.Command) -> commands.ConfigResult:
        return self._run(
            lambda control: control.propose(
                command, commands.ConfigResult, timeout=_TIMEOUT_S
            )
        )

    def _run(
        self, work: Callable[[client.Client], Awaitable[_Result]]
    ) -> _Result:
        async def run() -> _Result:
            control = client.Client(
                members=self.config.control,
                identity=connection.Identity(
                    node=self.name,
                    role="operator",
                    incarnation=time.time_ns(),
                    secret=self.config.cluster_secret.encode(),
                ),
            )
            control.start(watch=False)
            try:
                return await work(control)
            finally:
                await control.stop()

        return asyncio.run(run())
