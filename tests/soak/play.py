"""One play of the soak: a deployment, its callers and its troubles."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import dataclasses
import functools
import json
import pathlib
import random
from typing import Any

from monsoonhinge.bench import ports
from tests.soak import caller
from tests.soak import record as records
from tests.soak import stream_record
from tests.soak import streams
from tests.soak import system as systems
from tests.soak import target as targets
from tests.soak import troubles

_SERVICES = ("once", "stream", "often", "resumed")
_START_TIMEOUT_S = 30.0
# Requests that were sent to a target may still run.
_SETTLING_S = 2.5
_PORTS = ports.PortAllocator()


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size of a play.

    Attributes:
        seed: Seed of all random choices.
        duration_s: Time for which troubles begin.
        members: Number of control members.
        gateways: Number of gateways.
        targets: Number of targets of each service.
        callers: Number of callers.
        stream_callers: Number of callers that resume streams.
        planned_only: Whether there are only planned stops and changes, in which
            no request may be cut off.
    """

    seed: int
    duration_s: float = 20.0
    members: int = 3
    gateways: int = 3
    targets: int = 2
    callers: int = 24
    stream_callers: int = 8
    planned_only: bool = False


class Play:
    """Plays a plan.

    Attributes:
        record: What callers and targets saw.
    """

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.record = records.Record()
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._system = systems.System(
            folder, members=plan.members, gateways=plan.gateways
        )
        self._targets: dict[str, targets.Target] = {}
        self._services: dict[str, str] = {}
        self._version = 3

    async def run(self) -> records.Record:
        """Plays the plan and returns what was seen."""
        with self._system:
            try:
                await self._start()
                await self._play()
            finally:
                for target in self._targets.values():
                    target.crash()
        return self.record

    async def _start(self) -> None:
        for service in _SERVICES:
            # Several of each software version serve the streams.
            count = self._plan.targets * (2 if service == "resumed" else 1)
            for _ in range(count):
                address = f"127.0.0.1:{_PORTS.allocate()}"
                self._services[address] = service
                await self._start_target(address)
        async with asyncio.timeout(_START_TIMEOUT_S):
            await _until(self._put_config)
            for address in self._system.readiness:
                await _until(functools.partial(_is_ready, address))
        await asyncio.sleep(1.0)

    async def _play(self) -> None:
        stage = troubles.Stage(
            system=self._system,
            targets=self._targets,
            start_target=self._start_target,
            change_config=self._change_config,
        )
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(
                caller.Caller(
                    gateways=self._system.entries,
                    record=self.record,
                    rng=random.Random(self._rng.random()),
                ).run()
            )
            for _ in range(self._plan.callers)
        ]
        tasks += [
            loop.create_task(
                streams.StreamCaller(
                    gateways=self._system.entries,
                    record=self.record,
                    key=caller.KEY,
                    rng=random.Random(self._rng.random()),
                ).run()
            )
            for _ in range(self._plan.stream_callers)
        ]
        await troubles.Troubles(
            stage=stage,
            record=self.record,
            rng=self._rng,
            planned_only=self._plan.planned_only,
        ).run(loop.time() + self._plan.duration_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(_SETTLING_S)

    async def _start_target(self, address: str) -> None:
        target = targets.Target(
            service=self._services[address],
            port=int(address.rpartition(":")[2]),
            control=self._system.control,
            record=self.record,
            rng=self._rng,
            software_version=self._rng.choice(stream_record.SOFTWARE_VERSIONS),
        )
        await target.start()
        self._targets[address] = target

    async def _change_config(self) -> None:
        self._version += self._rng.randrange(1, 4)
        await self._put_config()

    async def _put_config(self) -> bool:
        body = json.dumps(self._config()).encode()
        for address in self._system.control:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                response = await targets.call(
                    address, "PUT", "/monsoonhinge/config", body
                )
                if response.status == 200:
                    return True
        return False

    def _config(self) -> dict[str, Any]:
        """Returns a configuration; each version has another extra route."""
        return {
            "version": self._version,
            "routes": [
                _route("once", execution="non_idempotent"),
                _route("stream", execution="streaming"),
                _route("often", execution="idempotent"),
                _route("resumed", execution="streaming", resumable=True),
                _route("often", name=f"v{self._version}"),
            ],
            "services": [
                {"name": name, "maxConnections": 100} for name in _SERVICES
            ],
            "tenants": [{"name": "bars", "apiKeys": [caller.KEY]}],
        }


def _route(
    service: str,
    *,
    name: str = "",
    execution: str = "idempotent",
    resumable: bool = False,
) -> dict[str, Any]:
    return {
        "name": name or service,
        "host": caller.HOST,
        "pathPrefix": f"/{name or service}/",
        "type": execution,
        "timeoutMs": 4000 if resumable else 1500,
        "resumable": resumable,
        "targetLatencyMs": 200,
        "targetGapMs": 300,
        "service": service,
        "maxAttempts": 2,
    }


async def _until(condition: Callable[[], Awaitable[bool]]) -> None:
    while True:
        if await condition():
            return
        await asyncio.sleep(0.1)


async def _is_ready(address: str) -> bool:
    with contextlib.suppress(OSError, EOFError, TimeoutError):
        response = await targets.call(
            address, "GET", "/monsoonhinge/readyz", b""
        )
        return response.status == 200
    return False
