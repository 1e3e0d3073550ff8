"""Case 6: a core machine is replaced as planned, then two others lose theirs.

Rule CONFIG: the configuration, read back at the end, doesn't come.
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

# Five core machines, of which two may be lost at once, as in the sheets.
CONTROL = [f"127.0.0.{number}" for number in range(11, 16)]
INGRESS = ["127.0.0.21"]
REPLACED, SUCCESSOR = "127.0.0.15", "127.0.0.16"
LOST = ["127.0.0.12", "127.0.0.13"]

# The successor runs for this long before the machine that it replaces gets
# SIGTERM. It then counts no longer as lost (catchUpS is 4 s).
CATCH_UP_S = 8.0
# Time between the end of the replaced process and the loss of two others.
PAUSE_S = 2.0
DOWN_S = 2.0
# All is up again for this long before the configuration is read back.
RECOVERY_S = 12.0
JUDGED_S = 25.0


async def read_back(
    deployment: deployments.Deployment,
    record: deployments.Record,
    hosts: list[str],
    seconds: float,
) -> int:
    """Reads the configuration again and again, at all members.

    Returns:
        The version that came, or 0 if none came.
    """
    until = time.monotonic() + seconds
    version = 0
    while not version and time.monotonic() < until:
        for host in hosts:
            response = await deployments.request(
                host,
                deployment.api_port,
                "GET",
                "/monsoonhinge/config",
                timeout_s=2.0,
            )
            if response.status == 200 and response.complete:
                version = json.loads(response.body)["version"]
                response.body = b""
                record(f"GET at {host}: version {version}")
                break
            record(f"GET at {host}: {response}")
        await asyncio.sleep(0.5)
    return version


async def replace(
    deployment: deployments.Deployment, record: deployments.Record
) -> None:
    """Replaces a member as planned: the new one first, then SIGTERM."""
    successor = deployment.add_control(SUCCESSOR)
    record(f"start of {successor.name} with an empty disk")
    successor.start()
    await asyncio.sleep(CATCH_UP_S)
    replaced = deployment.control[REPLACED]
    record(f"SIGTERM to {replaced.name}")
    replaced.signal(signal.SIGTERM)
    while replaced.process is not None and replaced.process.poll() is None:
        await asyncio.sleep(0.05)
    record(f"{replaced.name} has ended and does not come back")


async def lose_two(
    deployment: deployments.Deployment, record: deployments.Record
) -> None:
    """Kills two members, which come back with empty disks."""
    for host in LOST:
        record(f"SIGKILL to control-{host}")
        deployment.control[host].signal(signal.SIGKILL)
    for host in LOST:
        deployment.control[host].kill()
        deployment.lose_disk(host)
    await asyncio.sleep(DOWN_S)
    for host in LOST:
        record(f"start of control-{host} with an empty disk")
        deployment.restart_control(host)


async def case(
    deployment: deployments.Deployment, record: deployments.Record
) -> bool:
    """Runs the case; returns whether the rule held."""
    await deployments.put_config(deployment, documents.config(7))
    record("version 7 is acknowledged")
    await asyncio.sleep(8.0)
    # For the report only: one of the two disruptions alone.
    only = os.environ.get("ONLY", "")
    if deployments.trouble() and only != "loss":
        await replace(deployment, record)
        await asyncio.sleep(PAUSE_S)
    await deployments.put_config(deployment, documents.config(9))
    record("version 9 is acknowledged")
    if deployments.trouble() and only != "replacement":
        await lose_two(deployment, record)
    await asyncio.sleep(RECOVERY_S)
    hosts = [
        host
        for host, node in deployment.control.items()
        if node.process is not None and node.process.poll() is None
    ]
    record(f"members that run: {', '.join(hosts)}")
    if len(hosts) < len(CONTROL):
        raise deployments.CaseCannotRunError("a member does not run")
    version = await read_back(deployment, record, hosts, JUDGED_S)
    record(f"read back: version {version}; version 9 was acknowledged")
    return version == 9


def main() -> None:
    """Runs the case and exits with its result."""
    os.chdir(deployments.ROOT)
    deployments.run_case(
        FOLDER,
        case,
        control_hosts=CONTROL,
        ingress_hosts=INGRESS,
        tolerated_losses=2,
        spare_hosts=(SUCCESSOR,),
    )


if __name__ == "__main__":
    main()
