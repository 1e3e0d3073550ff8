"""A server runs a request of a non_idempotent route and its answer is lost.

Writes what was sent, answered and run to record.txt. Exits with 1 if a request
ran more than once, 0 if none did, 2 if the case could not run.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins"))

import deployment  # noqa: E402
import http_peers  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "ledger-app"
KEY = "i9n73hh2b9wu3fexd9dn"

# answer_lost as the site file doses it: a share of the servers lose the answer
# of x of the requests that they ran. bcr-retorno has share 0.6, x 0.4, 4 s;
# here it is one server of two, a quarter of the requests, 4 s.
LOST_SHARE = 0.25
LOST_FOR_S = 4.0
SENT_FOR_S = 12.0
LOST_FROM_S = 4.0
PER_S = 12

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "refund-post",
            "host": "ledger.example",
            "pathPrefix": "/refunds/",
            "type": "non_idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 200,
            "priority": 2,
            "service": SERVICE,
            "maxAttempts": 1,
            "public": False,
            "sticky": False,
            "resumable": False,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "healthPath": "/healthz",
            "maxConnections": 110,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "bars", "apiKeys": [KEY], "priority": 1}],
}


class Ledger(http_peers.Server):
    """Runs refunds; may lose answers for some seconds."""

    def __init__(self, name: str, **options) -> None:
        super().__init__(name, service=SERVICE, **options)
        self.loses_until = 0.0
        self.lost: list[str] = []
        self._lot = random.Random(7)

    async def after_run(self, message, writer) -> bool:
        if time.monotonic() < self.loses_until:
            if self._lot.random() < LOST_SHARE:
                self.lost.append(message.headers["x-request-id"])
                writer.transport.abort()
                return False
        return await super().after_run(message, writer)


async def play(plan: deployment.Deployment, record) -> int:
    control = [f"{m.host}:{plan.control_port}" for m in plan.members]
    front = [f"{g.host}:{g.frontend_port}" for g in plan.gateways]
    servers = []
    for number in range(2):
        host = plan.new_host()
        servers.append(
            Ledger(
                f"i-{number}", host=host, port=deployment.free_port(host)
            )
        )
        await servers[-1].start(lambda: control)
    await http_peers.put_config(control, CONFIG)
    await http_peers.wait_ready(
        [f"{g.host}:{g.readiness_port}" for g in plan.gateways]
    )
    await asyncio.sleep(2.0)
    answers: dict[str, str] = {}

    async def send(number: int) -> None:
        # As the platform does, connections go to either gateway.
        request_id = f"r{number:015x}"
        method = ("POST", "PUT", "DELETE")[number % 3]
        record(f"sent {request_id} {method} /refunds/{number}")
        try:
            answer = await http_peers.request(
                front[number % len(front)],
                method,
                f"/refunds/{number}",
                {
                    "Host": "ledger.example",
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": "1500",
                    "Authorization": f"Bearer {KEY}",
                },
                b'{"kegs": 3}',
                timeout_s=1.6,
            )
            answers[request_id] = f"{method} {answer.status}"
        except (OSError, EOFError, TimeoutError) as error:
            answers[request_id] = f"{method} {type(error).__name__}"
        record(f"answered {request_id} {answers[request_id]}")

    started = time.monotonic()
    tasks = []
    for number in range(int(SENT_FOR_S * PER_S)):
        await asyncio.sleep(
            max(0.0, started + number / PER_S - time.monotonic())
        )
        if TROUBLE and number == int(LOST_FROM_S * PER_S):
            servers[0].loses_until = time.monotonic() + LOST_FOR_S
        tasks.append(asyncio.create_task(send(number)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    runs = collections.Counter()
    for server in servers:
        for request_id, _ in server.runs:
            runs[request_id] += 1
            record(f"run {request_id} at {server.name}")
        await server.stop()
    served = sum(answer.endswith(" 200") for answer in answers.values())
    lost = sum(len(server.lost) for server in servers)
    twice = sorted(i for i, count in runs.items() if count > 1)
    for request_id in twice:
        record(
            f"TWICE {request_id}: {runs[request_id]} runs, "
            f"answered {answers[request_id]}"
        )
    record(
        f"{len(answers)} sent, {served} answered 200, {lost} answers lost, "
        f"{len(twice)} run more than once"
    )
    if served < len(answers) // 2 or (TROUBLE and not lost):
        return 2
    return 1 if twice else 0


def main() -> int:
    with (HERE / "record.txt").open("w") as file:

        def record(text: str) -> None:
            file.write(f"{time.time():.3f} {text}\n")

        with deployment.Deployment(members=3, gateways=2) as plan:
            try:
                return asyncio.run(play(plan, record))
            except (TimeoutError, RuntimeError, OSError) as error:
                record(f"could not run: {error!r}")
                return 2


if __name__ == "__main__":
    code = main()
    print((HERE / "record.txt").read_text().splitlines()[-1])
    sys.exit(code)
