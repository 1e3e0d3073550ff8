"""Tests of SIGHUP to processes that are starting, running or stopping."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

import pytest

from monsoonhinge.platform import wire
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events
from monsoonhinge.runtime import reload_signal
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from tests.control import stub

_HOST = "127.0.0.1"
_TIMEOUT_S = 30.0

# Time in which a process handles a signal that it has received.
_SETTLED_S = 0.05


def _settings_of(role: str, data_dir: pathlib.Path) -> dict[str, Any]:
    document = {
        "node": _HOST,
        "availability_zone": "a",
        "operations": f"{_HOST}:{stub.free_port()}",
        "cluster_secret": "c" * 32,
        "key_secret": "k" * 32,
        "seeds": [f"{_HOST}:{stub.free_port()}"],
    }
    if role == "control":
        return document | {
            "listen": f"{_HOST}:{stub.free_port()}",
            "data_dir": str(data_dir),
            "first_start": True,
            "registrations": f"{_HOST}:{stub.free_port()}",
        }
    return document | {
        "callers": f"{_HOST}:{stub.free_port()}",
        "readiness": f"{_HOST}:{stub.free_port()}",
        "control_port": stub.free_port(),
    }


def _next_event(program: subprocess.Popen[str], *names: str) -> dict[str, Any]:
    """Returns the next event of one of these names."""
    assert program.stdout is not None
    for line in program.stdout:
        event: dict[str, Any] = json.loads(line)
        if event["event"] in names:
            return event
    raise AssertionError(f"ended with {program.wait(_TIMEOUT_S)}")


@pytest.mark.parametrize("role", ["control", "ingress"])
@pytest.mark.parametrize("module", ["pydantic", "aiohttp", "aiomisc"])
def test_starting_process_reads_changed_settings(
    tmp_path: pathlib.Path, role: str, module: str
) -> None:
    """Guards against a start that ends with the signal, or forgets it."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(_settings_of(role, tmp_path / "data")))
    with subprocess.Popen(
        [sys.executable, "-m", "tests.platform.signal_at_import", module, role],
        env=os.environ | {wire.SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
        text=True,
    ) as program:
        try:
            _next_event(program, events.STARTED)
            event = _next_event(program, events.RELOADED)
            assert event["outcome"] == "done"
            path.write_text("{")
            program.send_signal(signal.SIGHUP)
            event = _next_event(program, events.RELOADED)
            assert event["outcome"] == "refused"
        finally:
            program.terminate()
            program.communicate(timeout=_TIMEOUT_S)
    assert program.returncode == 0


class _Program:
    """A process that is sent SIGHUP when it cannot start, starts and stops."""

    def __init__(self) -> None:
        self.not_ready_reason = str
        self.dump: Any = dict
        self.started = asyncio.Event()
        self.reloaded = asyncio.Event()

    def drain(self) -> None:
        pass

    async def start(self) -> None:
        os.kill(os.getpid(), signal.SIGHUP)
        self.started.set()

    async def finish(self) -> None:
        pass

    async def stop(self) -> None:
        os.kill(os.getpid(), signal.SIGHUP)


class _ReloadableProgram(_Program):
    """The same, with settings that can change."""

    def reload(self, config: settings.Process) -> None:
        assert self.started.is_set()
        self.reloaded.set()


class _Factory:
    """Creates a program at the second attempt."""

    def __init__(self, program: _Program) -> None:
        self.program = program
        self.attempts = 0

    def __call__(self, config: settings.Process) -> _Program:
        self.attempts += 1
        if self.attempts == 1:
            os.kill(os.getpid(), signal.SIGHUP)
            raise errors.TemporaryError("disk full", step="start")
        return self.program


def _supervise(program: _Program, config: settings.Process) -> int:
    """Runs a program until it has started and, if it can, reloaded."""

    async def run() -> int:
        supervisor = asyncio.create_task(
            service._supervise(config, _Factory(program), lambda: config)
        )
        if isinstance(program, _ReloadableProgram):
            async with asyncio.timeout(_TIMEOUT_S):
                await program.reloaded.wait()
        await program.started.wait()
        await asyncio.sleep(_SETTLED_S)
        os.kill(os.getpid(), signal.SIGTERM)
        return await supervisor

    reload_signal.SIGNAL.install()
    return asyncio.run(run())


@pytest.mark.parametrize("program", [_Program(), _ReloadableProgram()])
def test_signal_outside_of_a_run_is_kept(program: _Program) -> None:
    """Guards against a signal that meets a process before or after its work."""
    config = settings.Process(
        node="n",
        availability_zone="a",
        operations=settings.Address(host=_HOST, port=stub.free_port()),
        cluster_secret="c" * 32,
    )
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert _supervise(program, config) == 0
    finally:
        signal.signal(signal.SIGHUP, before)


def test_signals_while_nobody_subscribes_are_delivered_once() -> None:
    """Guards against a reload for each signal, or for none."""
    received = reload_signal.ReloadSignal()
    delivered: list[int] = []
    received._receive()
    received._receive()
    received.subscribe(lambda: delivered.append(1))
    assert delivered == [1]
    received._receive()
    assert delivered == [1, 1]
    received.unsubscribe()
    received._receive()
    assert delivered == [1, 1]
    assert received.pending
