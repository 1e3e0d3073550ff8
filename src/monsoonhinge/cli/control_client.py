"""Connects commands to the control members."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time

from monsoonhinge.cli import outcome
from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.control import client
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

# Node name prefix of operator commands. Their sessions are short-lived, so a
# publication does not wait for them.
OPERATOR_NODE_PREFIX = "operator:"

_POLL_INTERVAL_S = 0.02


@contextlib.asynccontextmanager
async def connect(
    config: settings.Operator, *, watch: bool = False
) -> AsyncIterator[client.Client]:
    """Connects to the control members while the context is open.

    Args:
        config: Settings of the operator.
        watch: Whether to subscribe to the configuration.
    """
    control = client.Client(
        members=config.control,
        identity=connection.Identity(
            node=f"{OPERATOR_NODE_PREFIX}{config.operator}",
            role="operator",
            incarnation=time.time_ns(),
            secret=config.cluster_secret.encode(),
        ),
    )
    control.start(watch=watch)
    try:
        yield control
    finally:
        await control.stop()


async def fetch_configuration(
    config: settings.Operator, *, timeout: float
) -> config_view.View:
    """Returns the configuration in effect.

    The configuration is received in parts over a subscription, because a large
    one does not fit into a single reply.

    Raises:
        errors.RequestTimeout: No member confirmed the configuration in time.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with connect(config, watch=True) as control:
        while loop.time() - started_at < timeout:
            # True once a member has confirmed it after this command started.
            if control.staleness(loop.time()) < loop.time() - started_at:
                return control.view
            await asyncio.sleep(_POLL_INTERVAL_S)
    raise errors.RequestTimeout(
        f"no control member confirmed the configuration within {timeout:.1f} s",
        step="read configuration",
    )


async def commit_change(
    control: client.Client, command: commands.Command, *, timeout: float
) -> commands.ConfigResult:
    """Commits a configuration change.

    Raises:
        outcome.CommandError: The change was refused, or its outcome is
            unknown.
    """
    try:
        result = await control.propose(
            command, commands.ConfigResult, timeout=timeout
        )
    except errors.RequestTimeout as error:
        raise outcome.CommandError(
            outcome.EXIT_UNKNOWN,
            [f"{error}", "outcome unknown; running it again is safe"],
            {"code": "unknown"},
        ) from error
    if result.code == "accepted":
        return result
    document = {
        "code": result.code,
        "version": result.version,
        "publisher": result.publisher,
        "digest": result.digest.hex(),
    }
    conflict = result.code == "conflict"
    message = f"{result.code}: {result.message}"
    if conflict:
        message += (
            f" (version {result.version} was published by"
            f" {result.publisher or 'nobody'},"
            f" digest {result.digest.hex()[:16] or 'none'})"
        )
    raise outcome.CommandError(
        outcome.EXIT_CONFLICT if conflict else outcome.EXIT_FAILED,
        [message],
        document,
    )


def without_keys(view: config_view.View) -> dict[str, schema.AnyObject]:
    """Returns the objects of a view by id, except caller keys."""
    return {
        object_id: item
        for object_id, item in view.objects.items()
        if item.kind != "key"
    }
