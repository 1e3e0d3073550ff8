"""Execution of orders on an emulated engine."""

import asyncio
import collections
from typing import Any

import aiohttp
from aiohttp import web

from monsoonhinge.emulator import engine as engines
from monsoonhinge.runtime import supervision

_MAX_SEEN_IDS = 10_000


class OrderExecutor:
    """Executes each order once, identified by its id.

    Attributes:
        engine: The engine.
        tasks: Tasks of the orders in progress.
    """

    def __init__(self, engine: engines.Engine) -> None:
        self.engine = engine
        self.supervisor = supervision.Supervisor()
        self._seen_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    async def handle(self, request: web.Request) -> web.Response:
        """Handles ``POST /orders``; the outcome is announced later."""
        engine = self.engine
        document = await request.json()
        engine.received_orders.append(document)
        if document["fencing"] < engine.fencing and (
            engine.config.checks_fencing
        ):
            engine.refused_orders += 1
            return web.Response(status=409, text="old fencing number")
        engine.fencing = max(engine.fencing, document["fencing"])
        order_id = document["order_id"]
        if order_id not in self._seen_ids:
            self._seen_ids[order_id] = None
            if len(self._seen_ids) > _MAX_SEEN_IDS:
                self._seen_ids.popitem(last=False)
            self.supervisor.spawn("execute_order", self._execute(document))
        return web.Response(status=202)

    async def stop(self) -> None:
        """Cancels the orders in progress."""
        await self.supervisor.stop()
        await self.engine.weight_store.close()

    async def _execute(self, document: dict[str, Any]) -> None:
        match document["action"]:
            case "load":
                reason = await self._load(document)
            case "unload":
                reason = self._unload(document["replica"])
            case "load_adapter":
                reason = await self._load_adapter(document)
            case "unload_adapter":
                reason = self._unload_adapter(document)
            case action:
                reason = f"refused: unknown action {action!r}"
        outcome = "done"
        if reason:
            outcome = "refused" if reason.startswith("refused") else "failed"
        self.engine.record_outcome(document["order_id"], outcome, reason)

    async def _load(self, document: dict[str, Any]) -> str:
        engine = self.engine
        order_id, model = document["order_id"], document["model"]
        costs = engine.config.models.get(model)
        replica_bytes = costs.bytes if costs else engine.config.default_bytes
        if not engine.memory.reserve(order_id, replica_bytes):
            return "refused: not enough memory"
        engine.add_replica(
            model=model, version=document["model_version"], order_id=order_id
        )
        load_s = engine.config.load_s
        if costs is not None and costs.load_s is not None:
            load_s = costs.load_s
        reason = await self._load_weights("model", order_id, load_s)
        replica = engine.replicas.get(order_id)
        if replica is None:
            return reason or "unloaded while loading"
        if reason:
            self._unload(order_id)
            return reason
        replica.state = "loaded"
        engine.cached_checkpoints[(model, replica.version)] = None
        return ""

    async def _load_weights(
        self, kind: str, reservation_id: str, load_s: float
    ) -> str:
        injector = self.engine.faults
        if injector.consume("load_hangs"):
            await asyncio.get_running_loop().create_future()
        if injector.consume("load_fails"):
            return "the load failed"
        slow_fault = injector.consume("load_slow")
        if slow_fault is not None:
            load_s += slow_fault.seconds
        try:
            await self.engine.weight_store.load(
                kind=kind, load_id=reservation_id, load_s=load_s
            )
        except aiohttp.ClientError as error:
            return f"the weight store failed: {error}"
        return ""

    def _unload(self, order_id: str) -> str:
        engine = self.engine
        replica = engine.replicas.pop(order_id, None)
        if replica is None:
            return ""
        engine.memory.release(order_id)
        for adapter in replica.adapters:
            engine.memory.release(f"{order_id}/{adapter}")
        return ""

    async def _load_adapter(self, document: dict[str, Any]) -> str:
        engine = self.engine
        reservation_id = f"{document['replica']}/{document['adapter']}"
        if document["replica"] not in engine.replicas:
            return "refused: no such replica"
        if not engine.memory.reserve(
            reservation_id, engine.config.adapter_bytes
        ):
            return "refused: not enough memory"
        reason = await self._load_weights(
            "adapter", reservation_id, engine.config.adapter_load_s
        )
        replica = engine.replicas.get(document["replica"])
        if replica is None or reason:
            engine.memory.release(reservation_id)
            return reason or "the replica is gone"
        replica.adapters.add(document["adapter"])
        return ""

    def _unload_adapter(self, document: dict[str, Any]) -> str:
        engine = self.engine
        replica = engine.replicas.get(document["replica"])
        if replica is not None:
            replica.adapters.discard(document["adapter"])
        engine.memory.release(f"{document['replica']}/{document['adapter']}")
        return ""
