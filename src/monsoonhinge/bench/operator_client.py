"""Operator actions on a local cluster, without the command line."""

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
    """Publishes configurations, changes caller keys and reads the state.

    Each method connects to the control members, waits for the result and
    disconnects. No event loop may be running in the calling thread.

    Attributes:
        config: Settings of the operator.
        name: Name of the operator, recorded as the publisher of changes.
    """

    def __init__(self, config: settings.Operator, *, name: str) -> None:
        self.config = config
        self.name = name

    @classmethod
    def for_cluster(
        cls, cluster: local_cluster.Cluster, *, name: str = "op"
    ) -> "OperatorClient":
        """Creates a client with the operator settings of a cluster."""
        return cls(
            settings.read(cluster.settings_path("operator"), settings.Operator),
            name=name,
        )

    def publish(
        self, version: int, documents: list[dict[str, Any]]
    ) -> commands.ConfigResult:
        """Publishes a set of configuration objects as a version."""
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
        """Grants a caller key to a team."""
        digest = view.key_hash(secret=self.config.key_secret.encode(), key=key)
        return self._propose(
            commands.GrantKey(
                name=name, team=team, hash=digest, publisher=self.name
            )
        )

    def withdraw_key(self, name: str) -> commands.ConfigResult:
        """Withdraws the caller key with a name."""
        return self._propose(
            commands.WithdrawKey(name=name, publisher=self.name)
        )

    def read_section(self, section: str) -> dict[str, Any]:
        """Returns a section of the replicated control state."""
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
        self, request: Callable[[client.Client], Awaitable[_Result]]
    ) -> _Result:
        async def connect_and_request() -> _Result:
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
                return await request(control)
            finally:
                await control.stop()

        return asyncio.run(connect_and_request())
