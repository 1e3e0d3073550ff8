"""Another writer sends heartbeats for a service that nobody named.

Each has an id of its own and the address of a server of ours. Our servers go on
sending their heartbeats, which are acknowledged. Writes to record.txt what was
sent, answered and run. Exits with 1 if a kind of request was served less than a
quarter as often as all, 0 if not, 2 if the case could not run.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins"))

import deployment  # noqa: E402
import http_peers  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "i9n73hh2b9wu3fexd9dn"
SENT_FOR_S = 50.0
TROUBLE_FROM_S = 5.0
PER_S = 10
# Kinds of requests and the services that run them.
KINDS = {"refund-post": "ledger-app", "depot-list": "depot-app"}

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": kind,
            "host": "ledger.example",
            "pathPrefix": f"/{kind}/",
            "type": "non_idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 200,
            "priority": 2,
            "service": service,
            "maxAttempts": 1,
            "public": False,
        }
        for kind, service in KINDS.items()
    ],
    "services": [
        {
            "name": service,
            "healthPath": "/healthz",
            "maxConnections": 110,
            "protocol": "h1",
            "tls": False,
        }
        for service in KINDS.values()
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "bars", "apiKeys": [KEY], "priority": 1}],
}


async def forge(control: list[str], servers: list, record) -> None:
    """Sends one heartbeat of another writer for the address of each server."""
    for number, server in enumerate(servers):
        target = f"other-{number}"
        beat = server.announcement() | {
            "service": "not-named-here",
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        answer = await http_peers.request(
            control[number % len(control)],
            "PUT",
            f"/monsoonhinge/instances/{target}",
            {"Content-Type": "application/json"},
            json.dumps(beat).encode(),
            timeout_s=1.0,
        )
        record(f"another writer: {target} {json.dumps(beat)}: {answer.status}")


async def play(plan: deployment.Deployment, record) -> int:
    control = [f"{m.host}:{plan.control_port}" for m in plan.members]
    front = [f"{g.host}:{g.frontend_port}" for g in plan.gateways]
    servers = []
    for number, service in enumerate(["ledger-app"] * 3 + ["depot-app"] * 2):
        host = plan.new_host()
        servers.append(
            http_peers.Server(
                f"i-{number}",
                service=service,
                host=host,
                port=deployment.free_port(host),
            )
        )
        await servers[-1].start(lambda: control)
    await http_peers.put_config(control, CONFIG)
    await http_peers.wait_ready(
        [f"{g.host}:{g.readiness_port}" for g in plan.gateways]
    )
    await asyncio.sleep(3.0)
    sent = dict.fromkeys(KINDS, 0)
    served = dict.fromkeys(KINDS, 0)
    last_served = dict.fromkeys(KINDS, 0.0)
    started = time.monotonic()

    async def send(number: int) -> None:
        kind = list(KINDS)[number % 2]
        request_id = f"r{number:015x}"
        sent[kind] += 1
        try:
            answer = await http_peers.request(
                front[number // 2 % len(front)],
                "POST",
                f"/{kind}/{number}",
                {
                    "Host": "ledger.example",
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": "1500",
                    "Authorization": f"Bearer {KEY}",
                },
                b'{"kegs": 3}',
                timeout_s=1.6,
            )
            what = str(answer.status)
            if answer.status == 200:
                served[kind] += 1
                last_served[kind] = time.monotonic() - started
        except (OSError, EOFError, TimeoutError) as error:
            what = type(error).__name__
        record(f"{request_id} {kind}: {what}")

    tasks = []
    for number in range(int(SENT_FOR_S * PER_S)):
        await asyncio.sleep(
            max(0.0, started + number / PER_S - time.monotonic())
        )
        if TROUBLE and number == int(TROUBLE_FROM_S * PER_S):
            tasks.append(
                asyncio.create_task(forge(control, servers[:3], record))
            )
        tasks.append(asyncio.create_task(send(number)))
    await asyncio.gather(*tasks)
    for server in servers:
        for request_id, at in server.runs:
            record(f"run {request_id} at {server.name} {at:.3f}")
        await server.stop()
    shares = {kind: served[kind] / sent[kind] for kind in KINDS}
    overall = sum(served.values()) / sum(sent.values())
    record(
        f"sent {sent}, served {served}, last served "
        f"{ {kind: round(at, 1) for kind, at in last_served.items()} } s after "
        f"the start; share of all {overall:.2f}, by kind "
        f"{ {kind: round(share, 2) for kind, share in shares.items()} }"
    )
    if not overall:
        return 2
    return 1 if min(shares.values()) < overall / 4 else 0


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
