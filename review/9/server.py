"""Stand-in for a model server with adapters, whose orders may be late.

SIGUSR1 begins the disruption: the next order gets no answer and is carried out
``late_s`` later, if ``expect`` fits then; and from its arrival on the paths
between this server and the control members are cut for ``cut_s``, though not
those to the gateways.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins_2"))

import server as stand_in  # noqa: E402

# Time of the load of an adapter.
ADAPTER_LOAD_S = 0.01

_CONTROL_PATHS = ("/monsoonhinge/report", "/monsoonhinge/order")


class AdapterServer(stand_in.Server):
    """A model server with places for adapters.

    Options besides those of the base: adapter_capacity, late_s, cut_s.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        # Loaded and pending adapters, as (model, adapter).
        self.adapters: list[tuple[str, str]] = []
        self.pending: list[tuple[str, str]] = []
        self.armed = False
        self.cut_until = 0.0

    async def run(self) -> None:
        """Serves until the process is killed."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._arm)
        await super().run()

    def _arm(self) -> None:
        self.armed = True
        self.record("armed")

    def _is_cut(self) -> bool:
        return time.monotonic() < self.cut_until

    async def announce(self) -> None:
        """Announces this server unless its path to control is cut."""
        if not self._is_cut():
            await super().announce()

    def _held(self) -> list[dict[str, Any]]:
        return [
            {
                "name": name,
                "version": 1,
                "adapters": [a for m, a in self.adapters if m == name],
            }
            for name in self.models
        ]

    def _current_report(self) -> dict[str, Any]:
        report = super()._current_report()
        report["pending"] = [f"{m}/{a}@1" for m, a in self.pending]
        return report

    async def _handle(
        self,
        head: stand_in.Head,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        if head.path not in _CONTROL_PATHS:
            await super()._handle(head, body, writer)
            return
        if self._is_cut():
            await asyncio.sleep(self.options["cut_s"])
            raise EOFError
        if self.armed and head.path == "/monsoonhinge/order":
            self.armed = False
            self.cut_until = time.monotonic() + self.options["cut_s"]
            order = json.loads(body)
            self.record("order", status="no answer, late", **order)
            asyncio.get_running_loop().call_later(
                self.options["late_s"], self._carry_out_late, order
            )
            await asyncio.sleep(self.options["cut_s"])
            raise EOFError
        await super()._handle(head, body, writer)

    def _carry_out_late(self, order: dict[str, Any]) -> None:
        status = self._order_status(order)
        self.record("late order", status=status, **order)

    def _order_status(self, order: dict[str, Any]) -> int:
        if not order.get("adapter"):
            return super()._order_status(order)
        if order["fencingToken"] < self.fence:
            return 412
        self.fence = order["fencingToken"]
        item = (order["model"], order["adapter"])
        load = order["operation"] == "load"
        known = self.adapters + self.pending
        if order["model"] not in self.models:
            return 400
        if load == (item in known):
            return 200
        if self.busy or order.get("expect", self.orders) != self.orders:
            return 409
        self.orders += 1
        if not load:
            self.adapters.remove(item)
            return 200
        if len(known) + 1 > self.options["adapter_capacity"]:
            self.record("overload", adapter=order["adapter"], held=len(known))
            os._exit(3)
        self.pending.append(item)
        asyncio.get_running_loop().call_later(
            ADAPTER_LOAD_S, self._finish_adapter, item
        )
        return 202

    def _finish_adapter(self, item: tuple[str, str]) -> None:
        self.pending.remove(item)
        self.adapters.append(item)

    async def _stream(
        self, head: stand_in.Head, writer: asyncio.StreamWriter
    ) -> None:
        model, _, adapter = head.headers.get("x-model", "").partition("/")
        if adapter and (model, adapter) not in self.adapters:
            self.record("rejected", id=head.headers.get("x-request-id", ""))
            self._reject(head, writer, 421)
            return
        await super()._stream(head, writer)


if __name__ == "__main__":
    asyncio.run(AdapterServer(json.loads(sys.argv[1])).run())
