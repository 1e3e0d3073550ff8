"""Case 9: a late order and a cut lead to an order beyond a server's places.

Rule LIMIT: a server is ordered to load more than adapterCapacity holds.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

import deployment as deployments  # noqa: E402
import documents  # noqa: E402

CONTROL = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]
INGRESS = ["127.0.0.21"]
ENGINES = ["127.0.0.31", "127.0.0.32"]
MODEL = "m0"
LOAD_S = 6.0

ADAPTERS = 20
CAPACITY = 8
# The order that gets no answer is carried out this much later (2 to 12 s).
LATE_S = 8.0
CUT_S = 5.0
QUIET_S = 35.0
DEADLINE_S = 15.0
# Time from the late order to the next request.
NEXT_S = 0.5


class Case:
    """Client and model server of the case."""

    def __init__(
        self, deployment: deployments.Deployment, record: deployments.Record
    ) -> None:
        self.deployment = deployment
        self.record = record
        self.port = deployments.free_ports(ENGINES, 1)[0]
        self._sent = 0
        self._retry_after_s = 0.0

    def engine(self, host: str) -> deployments.Node:
        """Returns a model server, which is not started yet."""
        number = host.rpartition(".")[2]
        node = self.deployment.server(
            f"engine-{number}",
            id=f"i-{number}",
            host=host,
            port=self.port,
            service="llm",
            zone="zone-a",
            engine=True,
            weights_mb=documents.WEIGHTS_MB,
            model_mb=documents.MODEL_MB,
            load_s=LOAD_S,
            disk_s=1.0,
            warm_s=0.8,
            adapter_capacity=CAPACITY,
            late_s=LATE_S,
            cut_s=CUT_S,
        )
        node._argv[1] = str(FOLDER / "server.py")
        return node

    async def chat(self, model: str) -> int:
        """Sends a stream request, and once more after a refusal.

        Returns:
            The last status.
        """
        until = time.monotonic() + DEADLINE_S
        status = await self._send(model, DEADLINE_S)
        if status in (429, 503):
            await asyncio.sleep(self._retry_after_s)
            status = await self._send(model, until - time.monotonic())
        return status

    async def _send(self, model: str, left_s: float) -> int:
        self._sent += 1
        request_id = f"{self._sent:08x}"
        response = await deployments.request(
            INGRESS[0],
            self.deployment.frontend_port,
            "POST",
            f"{documents.STREAM_PATH}x",
            headers=documents.headers(request_id, int(left_s * 1000), model),
            body=b"{}",
            timeout_s=left_s + 0.5,
        )
        self.record(f"{model} {request_id}: {response}")
        # Clients honour it up to a third of the time that they have left.
        self._retry_after_s = min(
            float(response.headers.get("retry-after", "0")), left_s / 3
        )
        return response.status

    async def wait_served(self, model: str) -> None:
        """Sends requests for a model until one is served."""
        until = time.monotonic() + 40.0
        while await self.chat(model) != 200:
            await asyncio.sleep(1.5)
            if time.monotonic() > until:
                raise deployments.CaseCannotRunError(f"{model} is not served")

    def holder(self) -> str:
        """Returns the id of the server that ran the model last."""
        return [
            event["server"]
            for event in self.deployment.server_events()
            if event["kind"] == "run" and event["model"] == MODEL
        ][-1]

    def overloads(self) -> int:
        """Returns how often the server was ordered to load too much."""
        return sum(
            event["kind"] == "overload"
            for event in self.deployment.server_events()
        )


async def case(
    deployment: deployments.Deployment, record: deployments.Record
) -> bool:
    """Runs the case; returns whether the rule held."""
    run = Case(deployment, record)
    document = documents.config(7, models=1, load_s=LOAD_S, timeout_ms=15000)
    engine_config = document["services"][0]["engine"]
    engine_config["models"][0]["adapters"] = ADAPTERS
    engine_config["adapterCapacity"] = CAPACITY
    for model in engine_config["models"]:
        model["warmS"], model["diskS"] = 0.8, 1.0
    await deployments.put_config(deployment, document)
    engines = {f"i-{host[-2:]}": run.engine(host) for host in ENGINES}
    for engine in engines.values():
        engine.start()
    await deployments.wait_ready(deployment)
    await run.wait_served(MODEL)
    for number in range(1, CAPACITY):
        await run.wait_served(f"{MODEL}/a{number}")
        await asyncio.sleep(2.5)
    engine = engines[run.holder()]
    # The model is asked for rarely, so that one server holds it.
    await asyncio.sleep(QUIET_S)
    if deployments.trouble():
        record(f"SIGUSR1 to {engine.name}: an order is late, then a cut")
        engine.signal(signal.SIGUSR1)
        await asyncio.sleep(0.2)
    started_at = time.monotonic()
    await run.chat(f"{MODEL}/a{CAPACITY}")
    # The cut is over, and the late order has been carried out.
    await asyncio.sleep(started_at + LATE_S + NEXT_S - time.monotonic())
    await run.chat(f"{MODEL}/a{CAPACITY + 1}")
    await asyncio.sleep(2.0)
    for event in deployment.server_events():
        record(f"server event {json.dumps(event)}")
    overloads = run.overloads()
    record(f"orders beyond {CAPACITY} adapters: {overloads}")
    return not overloads


def main() -> None:
    """Runs the case and exits with its result."""
    os.chdir(deployments.ROOT)
    deployments.run_case(
        FOLDER,
        case,
        control_hosts=CONTROL,
        ingress_hosts=INGRESS,
        tolerated_losses=1,
    )


if __name__ == "__main__":
    main()
