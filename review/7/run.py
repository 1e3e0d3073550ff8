"""Case 7: all model servers are down for 5 s and come back; nothing is loaded.

Rule Starved: a kind of request is served less than a quarter as often as all.
"""

import asyncio
import os
import pathlib
import random
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

import deployment as deployments  # noqa: E402
import documents  # noqa: E402

CONTROL = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]
INGRESS = ["127.0.0.21", "127.0.0.22"]
ENGINES = ["127.0.0.31", "127.0.0.32"]
LEDGER = "127.0.0.41"

DOWN_S = 5.0
CALM_S = 8.0
# The rule is judged on what is sent from here to the end.
JUDGED_S = 40.0


class Case:
    """Clients and servers of the case."""

    def __init__(
        self, deployment: deployments.Deployment, record: deployments.Record
    ) -> None:
        self.deployment = deployment
        self.record = record
        self.port = deployments.free_ports([*ENGINES, LEDGER], 1)[0]
        self.results: list[tuple[str, bool]] = []
        self.rng = random.Random(7)
        self._sent = 0

    def engine(self, host: str, start: int) -> deployments.Node:
        """Returns a model server; each start is a new incarnation."""
        number = host.rpartition(".")[2]
        return self.deployment.server(
            f"engine-{number}-{start}",
            id=f"i-{number}-{start}",
            host=host,
            port=self.port,
            service="llm",
            zone="zone-a",
            engine=True,
            weights_mb=documents.WEIGHTS_MB,
            model_mb=documents.MODEL_MB,
            load_s=1.0,
            disk_s=0.5,
            warm_s=0.3,
            disk=str(self.deployment.folder / f"disk-{host}"),
        )

    async def send(self, kind: str) -> None:
        """Sends one request and, after a refusal, once more, as clients do."""
        self._sent += 1
        model = f"m{self._sent // 2 % 2}" if kind == "chat" else ""
        path, deadline_ms = {
            "chat": (documents.STREAM_PATH, 8000),
            "read": (documents.READ_PATH, 1500),
        }[kind]
        served = False
        for attempt in range(2):
            request_id = f"{self._sent:08x}{attempt:02x}"
            host = self.rng.choice(INGRESS)
            response = await deployments.request(
                host,
                self.deployment.frontend_port,
                "POST" if kind == "chat" else "GET",
                f"{path}x",
                headers=documents.headers(request_id, deadline_ms, model),
                body=b"{}" if kind == "chat" else b"",
                timeout_s=deadline_ms / 1000 + 0.5,
            )
            served = response.status == 200 and response.complete
            self.record(f"{kind} {request_id} {model} at {host}: {response}")
            if served or response.status not in (429, 503):
                break
            wait_s = float(response.headers.get("retry-after", "0"))
            await asyncio.sleep(min(wait_s, deadline_ms / 3000))
        self.results.append((kind, served))

    async def traffic(self, seconds: float) -> list[tuple[str, bool]]:
        """Sends a request of each kind every half second; returns results."""
        self.results = []
        tasks = []
        for _ in range(int(seconds * 2)):
            tasks += [
                asyncio.create_task(self.send(kind))
                for kind in ("chat", "read")
            ]
            await asyncio.sleep(0.5)
        await asyncio.gather(*tasks)
        return self.results


def shares(results: list[tuple[str, bool]]) -> dict[str, float]:
    """Returns the share of requests that were served, by kind and over all."""
    kinds = {kind for kind, _ in results}
    found = {
        kind: [served for name, served in results if name == kind]
        for kind in kinds
    }
    found["all"] = [served for _, served in results]
    return {kind: sum(items) / len(items) for kind, items in found.items()}


async def case(
    deployment: deployments.Deployment, record: deployments.Record
) -> bool:
    """Runs the case; returns whether the rule held."""
    run = Case(deployment, record)
    await deployments.put_config(deployment, documents.config(7))
    ledger = deployment.server(
        "ledger",
        id="i-ledger",
        host=LEDGER,
        port=run.port,
        service="ledger",
        zone="zone-a",
    )
    ledger.start()
    engines = [run.engine(host, 1) for host in ENGINES]
    for engine in engines:
        engine.start()
    await deployments.wait_ready(deployment)
    await asyncio.sleep(3.0)
    before = shares(await run.traffic(CALM_S))
    record(f"served before: {before}")
    if before["chat"] < 0.5:
        raise deployments.CaseCannotRunError("the system does not serve")
    outage = asyncio.create_task(run.traffic(DOWN_S))
    if deployments.trouble():
        for engine in engines:
            record(f"SIGKILL to {engine.name}")
            engine.kill()
    await asyncio.sleep(DOWN_S)
    if deployments.trouble():
        for host in ENGINES:
            engine = run.engine(host, 2)
            record(f"start of {engine.name}")
            engine.start()
    await outage
    await asyncio.sleep(5.0)
    after = shares(await run.traffic(JUDGED_S))
    record(f"served after: {after}")
    for event in deployment.server_events():
        if event["kind"] in ("start", "order", "store_load"):
            record(f"server event {event}")
    write_evidence(deployment, record)
    return after["chat"] >= after["all"] / 4


def write_evidence(
    deployment: deployments.Deployment, record: deployments.Record
) -> None:
    """Records the errors that the control members logged."""
    for node in deployment.control.values():
        for line in node.log_text().splitlines():
            if "OverflowError" in line or "Traceback" in line:
                record(f"log of {node.name}: {line[:400]}")


def main() -> None:
    """Runs the case and exits with its result."""
    options: dict[str, Any] = {
        "control_hosts": CONTROL,
        "ingress_hosts": INGRESS,
        "tolerated_losses": 1,
    }
    os.chdir(deployments.ROOT)
    deployments.run_case(FOLDER, case, **options)


if __name__ == "__main__":
    main()
