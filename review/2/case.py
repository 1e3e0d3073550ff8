"""Valid changes of the configuration replace the many keys of the tenants.

The platform's part starts processes that ended by themselves again after a
short delay, as DEPLOY.md says. Writes to record.txt what was sent and answered
and which processes ended. Exits with 1 if no read of the configuration in the
last 15 s gave one, or if half of the control members ended by themselves three
times, 0 if not, 2 if the case could not run.
"""

import asyncio
import json
import os
import pathlib
import secrets
import string
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins"))

import deployment  # noqa: E402
import http_peers  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "ledger-app"
KEY = "i9n73hh2b9wu3fexd9dn"
KEYS = 43_000 if TROUBLE else 500
RESTART_DELAY_S = 0.5
WATCHED_FOR_S = 95.0
# The operator makes the next change after an acknowledgement, or after this.
CHANGE_EVERY_S = 20.0
# "a second without a response (more for large bodies)"
LARGE_TIMEOUT_S = 15.0
LETTERS = string.ascii_lowercase + string.digits
# The site file's limit of the body of a configuration.
BODY_LIMIT_BYTES = 4_194_304


def new_key() -> str:
    return "".join(secrets.choice(LETTERS) for _ in range(20))


def config(version: int, keys: list[str]) -> dict:
    shares = [keys[number::5] for number in range(5)]
    return {
        "version": version,
        "routes": [
            {
                "name": "balance-read",
                "host": "ledger.example",
                "pathPrefix": "/balances/",
                "type": "idempotent",
                "timeoutMs": 1500,
                "targetLatencyMs": 200,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 2,
                "public": False,
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
        "tenants": [
            {"name": f"tenant{number}", "apiKeys": share, "priority": 1}
            for number, share in enumerate(shares)
        ],
    }


async def keep_running(plan: deployment.Deployment, exits: list, record) -> None:
    """Starts processes that have ended by themselves again."""
    while True:
        for process in plan.processes:
            code = process.running.poll() if process.running else None
            if code is not None:
                exits.append(process.name)
                record(f"{process.name} ended by itself with {code}")
                process.running = None
                await asyncio.sleep(RESTART_DELAY_S)
                process.start()
        await asyncio.sleep(0.1)


async def play(plan: deployment.Deployment, record) -> int:
    control = [f"{m.host}:{plan.control_port}" for m in plan.members]
    front = [f"{g.host}:{g.frontend_port}" for g in plan.gateways]
    host = plan.new_host()
    server = http_peers.Server(
        "i-0", service=SERVICE, host=host, port=deployment.free_port(host)
    )
    await server.start(lambda: control)
    first = config(3, [KEY, *(new_key() for _ in range(50))])
    await http_peers.put_config(control, first)
    await http_peers.wait_ready(
        [f"{g.host}:{g.readiness_port}" for g in plan.gateways]
    )
    await asyncio.sleep(2.0)
    exits: list[str] = []
    watcher = asyncio.create_task(keep_running(plan, exits, record))

    async def operate() -> None:
        version = 3
        while True:
            version += 4
            keys = [KEY, *(new_key() for _ in range(KEYS))]
            document = config(version, keys)
            size = len(json.dumps(document))
            assert size <= BODY_LIMIT_BYTES
            record(f"sends version {version}: {KEYS} keys, {size} bytes")
            began = time.monotonic()
            try:
                await http_peers.put_config(
                    control,
                    document,
                    for_s=CHANGE_EVERY_S,
                    timeout_s=LARGE_TIMEOUT_S,
                )
                record(f"version {version} acknowledged")
            except TimeoutError:
                record(f"version {version} not acknowledged")
            await asyncio.sleep(
                max(0.0, began + CHANGE_EVERY_S - time.monotonic())
            )

    operator = asyncio.create_task(operate())
    counts = {"reads": 0, "read": 0, "sent": 0, "served": 0}
    late = {"reads": 0, "read": 0, "sent": 0, "served": 0}
    started = time.monotonic()
    number = 0
    while (passed := time.monotonic() - started) < WATCHED_FOR_S:
        number += 1
        into = [counts] + ([late] if passed > WATCHED_FOR_S - 15.0 else [])
        for counter in into:
            counter["reads"] += 1
            counter["sent"] += 1
        address = control[number % len(control)]
        try:
            answer = await http_peers.request(
                address, "GET", "/monsoonhinge/config", {}, timeout_s=2.0
            )
            what = str(answer.status)
            if answer.status == 200:
                what += f" version {json.loads(answer.body)['version']}"
                for counter in into:
                    counter["read"] += 1
        except (OSError, EOFError, TimeoutError) as error:
            what = type(error).__name__
        record(f"read of the configuration at {address}: {what}")
        try:
            answer = await http_peers.request(
                front[number % len(front)],
                "GET",
                f"/balances/{number}",
                {
                    "Host": "ledger.example",
                    "X-Request-Id": f"r{number:015x}",
                    "X-Deadline-Ms": "1500",
                    "Authorization": f"Bearer {KEY}",
                },
                timeout_s=1.6,
            )
            what = str(answer.status)
            if answer.status == 200:
                for counter in into:
                    counter["served"] += 1
        except (OSError, EOFError, TimeoutError) as error:
            what = type(error).__name__
        record(f"request r{number:015x}: {what}")
        await asyncio.sleep(0.5)
    operator.cancel()
    watcher.cancel()
    await server.stop()
    record(
        f"{len(exits)} ends of processes by themselves: "
        f"{ {name: exits.count(name) for name in sorted(set(exits))} }; all: "
        f"{counts}; last 15 s: {late}"
    )
    often = [m for m in plan.members if exits.count(m.name) >= 3]
    broken = not late["read"] or 2 * len(often) >= len(plan.members)
    return 1 if broken else 0


def main() -> int:
    with (HERE / "record.txt").open("w") as file:

        def record(text: str) -> None:
            file.write(f"{time.time():.3f} {text}\n")
            file.flush()

        with deployment.Deployment(members=3, gateways=5) as plan:
            try:
                return asyncio.run(play(plan, record))
            except (TimeoutError, RuntimeError, OSError) as error:
                record(f"could not run: {error!r}")
                return 2


if __name__ == "__main__":
    code = main()
    print((HERE / "record.txt").read_text().splitlines()[-1])
    sys.exit(code)
