"""Troubles of a play, drawn from its seed; they come in series and overlap."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import random
import signal
import time

from tests.soak import record as records
from tests.soak import system as systems
from tests.soak import target as targets

_MAX_PAUSE_S = 1.2
_RESTART_DELAY_S = 0.3
_STOP_GRACE_S = 8.0

# Faults of targets, each at its largest dose.
_FAULTS = (
    targets.Faults(reset=0.4, idle_close=0.2),
    targets.Faults(closed=0.4),
    targets.Faults(late=0.2, slow_s=0.3),
    targets.Faults(truncated=0.3, dropped=0.2),
    targets.Faults(malformed=0.5),
    targets.Faults(unstated=0.3),
    targets.Faults(repeated=0.5, rejected=0.2),
    targets.Faults(rejected_twice=0.5, reset=0.2),
    targets.Faults(dropped=0.5, rejected=0.3),
    targets.Faults(reset=0.2, rejected=0.3, idle_close=0.5),
    targets.Faults(slow_s=0.6),
)


@dataclasses.dataclass(slots=True)
class Stage:
    """What troubles act on.

    Attributes:
        system: The processes.
        targets: Targets by address, in their present incarnation.
        start_target: Starts the next incarnation at an address.
        change_config: Publishes a changed configuration.
    """

    system: systems.System
    targets: dict[str, targets.Target]
    start_target: Callable[[str], Awaitable[None]]
    change_config: Callable[[], Awaitable[None]]


class Troubles:
    """Begins one trouble after the other until the play ends."""

    def __init__(
        self,
        *,
        stage: Stage,
        record: records.Record,
        rng: random.Random,
        planned_only: bool,
    ) -> None:
        self._planned_only = planned_only
        self._stage = stage
        self._record = record
        self._rng = rng
        self._busy: set[str] = set()

    async def run(self, until: float) -> None:
        """Begins troubles until a time of the event loop, and awaits them."""
        loop = asyncio.get_running_loop()
        planned = (
            self._stop_gateway,
            self._replace_target,
            self._stage.change_config,
        )
        unplanned = (
            self._spoil_target,
            self._spoil_target,
            self._crash_target,
            self._kill_process,
            self._freeze_process,
            self._kill_all_gateways,
        )
        kinds = planned if self._planned_only else planned + unplanned
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                trouble = self._rng.choice(kinds)
                self._note(trouble.__name__.strip("_"))
                group.create_task(trouble())
                await asyncio.sleep(self._rng.uniform(0.0, _MAX_PAUSE_S))

    def _note(self, text: str) -> None:
        now = asyncio.get_running_loop().time()
        self._record.notes.append(f"{now:.3f} {text}")

    async def _spoil_target(self) -> None:
        target = self._rng.choice(list(self._stage.targets.values()))
        target.faults = dataclasses.replace(self._rng.choice(_FAULTS))
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        target.faults = targets.Faults()

    async def _crash_target(self) -> None:
        address = self._take(list(self._stage.targets))
        if address:
            self._stage.targets[address].crash()
            await asyncio.sleep(self._rng.uniform(0.0, 2.0))
            await self._stage.start_target(address)
            self._busy.discard(address)

    async def _replace_target(self) -> None:
        address = self._take(list(self._stage.targets))
        if address:
            await self._stage.targets[address].leave()
            await self._stage.start_target(address)
            self._busy.discard(address)

    async def _kill_process(self) -> None:
        process = self._take_process(self._stage.system.processes)
        if process is not None:
            process.send_signal(signal.SIGKILL)
            await asyncio.to_thread(process.wait, time.monotonic() + 1.0)
            await self._restart(process)

    async def _kill_all_gateways(self) -> None:
        taken = []
        while process := self._take_process(self._stage.system.gateways):
            taken.append(process)
        for process in taken:
            process.send_signal(signal.SIGKILL)
        for process in taken:
            await asyncio.to_thread(process.wait, time.monotonic() + 1.0)
        await asyncio.gather(*(self._restart(process) for process in taken))

    async def _stop_gateway(self) -> None:
        process = self._take_process(self._stage.system.gateways)
        if process is not None:
            process.send_signal(signal.SIGTERM)
            deadline = time.monotonic() + _STOP_GRACE_S
            await asyncio.to_thread(process.wait, deadline)
            await self._restart(process)

    async def _freeze_process(self) -> None:
        process = self._take_process(self._stage.system.processes)
        if process is not None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.1, 2.5))
            process.send_signal(signal.SIGCONT)
            self._busy.discard(process.name)

    async def _restart(self, process: systems.Process) -> None:
        await asyncio.sleep(_RESTART_DELAY_S)
        process.start()
        self._busy.discard(process.name)

    def _take_process(
        self, processes: list[systems.Process]
    ) -> systems.Process | None:
        name = self._take([process.name for process in processes])
        return next((p for p in processes if p.name == name), None)

    def _take(self, names: list[str]) -> str:
        """Reserves one of the names that no other trouble uses, or ""."""
        free = [name for name in names if name not in self._busy]
        if not free:
            return ""
        name = self._rng.choice(free)
        self._busy.add(name)
        self._note(f"  {name}")
        return name
