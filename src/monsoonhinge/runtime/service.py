"""Startup, graceful shutdown and exit codes of a process."""

import asyncio
from collections.abc import Callable
import dataclasses
import importlib.metadata
import logging
import pathlib
import signal
import sys
import time
import typing
from typing import Annotated, Any, TypeVar

import aiomisc
import cappa

from monsoonhinge.protocol import connection
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events
from monsoonhinge.runtime import logs
from monsoonhinge.runtime import ops
from monsoonhinge.runtime import reload_signal
from monsoonhinge.runtime import settings

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

# Delay before a process that cannot start for now is created again.
_START_RETRY_S = 0.5

_SECRET_SETTINGS = {"cluster_secret", "key_secret"}

_LOG = logging.getLogger(__name__)

_Settings = TypeVar("_Settings", bound=settings.Process)


class Process(ops.OperatedProcess, typing.Protocol):
    """A process that ``run`` can start and stop."""

    async def start(self) -> None:
        """Starts listening and connecting."""

    async def finish(self) -> None:
        """Waits until all work is finished; called after ``drain``."""

    async def stop(self) -> None:
        """Closes all connections and stops all tasks."""


@typing.runtime_checkable
class Reloadable(typing.Protocol):
    """A process that can apply changed settings while it runs."""

    def reload(self, config: Any) -> None:
        """Applies changed settings."""


@dataclasses.dataclass(kw_only=True)
class Options:
    """Command-line options that every binary takes.

    Attributes:
        settings: Path of the JSON settings file.
        check: Validate the settings, print the result and exit.
    """

    settings: Annotated[
        pathlib.Path, cappa.Arg(long=True, help="JSON settings file")
    ]
    check: Annotated[
        bool, cappa.Arg(long=True, help="Validate the settings and exit")
    ] = False


def make_identity(config: settings.Process, role: str) -> connection.Identity:
    """Returns the identity of this process, with a new incarnation."""
    return connection.Identity(
        node=config.node,
        role=role,
        incarnation=time.time_ns(),
        secret=config.cluster_secret.encode(),
    )


def run(
    *,
    role: str,
    options: Options,
    model: type[_Settings],
    factory: Callable[[_Settings], Process],
    event_log: bool = False,
) -> None:
    """Runs a process until it is stopped, then calls ``sys.exit``.

    Args:
        role: Role added to each log line.
        options: Parsed command-line options.
        model: Settings model.
        factory: Creates the process from its settings, inside the event loop.
        event_log: Whether the event log, which then includes all log records,
            is written to standard output.
    """
    reload_signal.SIGNAL.install()
    try:
        config = settings.read(options.settings, model)
    except errors.SettingsError as error:
        for problem in error.problems:
            print(f"{options.settings}: {problem}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if options.check:
        print(f"{options.settings}: ok")
        sys.exit(0)
    if event_log:
        events.configure(node=config.vm or config.node, role=role)
        logs.configure_event_log(level=config.log_level)
    else:
        logs.configure(node=config.node, role=role, level=config.log_level)

    def read_settings() -> _Settings:
        return settings.read(options.settings, model)

    with aiomisc.entrypoint(log_config=False, pool_size=2) as loop:
        code = loop.run_until_complete(
            _supervise(config, factory, read_settings)
        )
    events.flush()
    sys.exit(code)


async def _supervise(
    config: _Settings,
    factory: Callable[[_Settings], Process],
    read_settings: Callable[[], _Settings],
) -> int:
    try:
        process = await _create(config, factory)
    except (OSError, errors.MonsoonhingeError) as error:
        _LOG.error("cannot start the process: %s", error)
        return EXIT_FAILED
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()

    def start_shutdown() -> None:
        process.drain()
        stopping.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, start_shutdown)
    operations = ops.Operations(
        process=_StoppableProcess(process, start_shutdown)
    )
    try:
        await operations.start(config.operations)
        await process.start()
        reload_signal.SIGNAL.subscribe(
            lambda: loop.call_soon_threadsafe(_reload, process, read_settings)
        )
        _LOG.info("started")
        public_settings = config.model_dump(
            mode="json", exclude=_SECRET_SETTINGS
        )
        events.emit(
            events.STARTED, version=_version(), settings=public_settings
        )
        await stopping.wait()
        _LOG.info("draining")
        events.emit(events.STOPPING)
        async with asyncio.timeout(config.drain_timeout_s):
            await process.finish()
    except TimeoutError:
        _LOG.error("drain timed out; aborting the remaining work")
        return EXIT_FAILED
    except (OSError, errors.MonsoonhingeError) as error:
        _LOG.error("stopping after an error: %s", error)
        return EXIT_FAILED
    finally:
        reload_signal.SIGNAL.unsubscribe()
        await process.stop()
        await operations.stop()
    _LOG.info("stopped")
    events.emit(events.STOPPED)
    return 0


async def _create(
    config: _Settings, factory: Callable[[_Settings], Process]
) -> Process:
    """Creates the process, once the reasons that may pass have passed."""
    reported = ""
    while True:
        try:
            return factory(config)
        except errors.TemporaryError as error:
            if str(error) != reported:
                reported = str(error)
                _LOG.warning("waiting to start the process: %s", error)
            await asyncio.sleep(_START_RETRY_S)


def _reload(process: Process, read_settings: Callable[[], Any]) -> None:
    """Applies changed settings; keeps the old ones if they are invalid."""
    if not isinstance(process, Reloadable):
        _LOG.warning("changed settings need a restart of this process")
        return
    try:
        process.reload(read_settings())
    except errors.SettingsError as error:
        events.emit(events.RELOADED, outcome="refused", problems=error.problems)
    else:
        events.emit(events.RELOADED, outcome="done")


def _version() -> str:
    try:
        return importlib.metadata.version("monsoonhinge")
    except importlib.metadata.PackageNotFoundError:
        return "unknown"


class _StoppableProcess:
    """A process as the operations server sees it.

    Its ``drain`` also makes the supervisor stop the process.
    """

    def __init__(self, process: Process, drain: Callable[[], None]) -> None:
        self.not_ready_reason = process.not_ready_reason
        self.dump: Callable[[], dict[str, Any]] = process.dump
        self.drain = drain
