"""Tests of what processes know after they were started again."""

import asyncio
import pathlib

from monsoonhinge.fleet import registry
from monsoonhinge.platform import programs
from monsoonhinge.protocol import fleet
from tests.platform import test_path
from tests.platform import test_translation


async def _acknowledges_deregistration(
    deployment: test_path.Deployment,
) -> bool:
    status = await deployment.call_control("DELETE", "instances/s1", None)
    return status == 200


def test_target_that_left_is_not_used_after_all_members_restart(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a delayed announcement that revives a target.

    No member remembers the deregistration; a gateway does.
    """

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            left = deployment.servers[0]
            await test_path.wait_until(
                lambda: _acknowledges_deregistration(deployment)
            )

            async def gateway_knows() -> bool:
                return "s1" not in deployment.gateway.targets.by_name

            await test_path.wait_until(gateway_knows)
            await deployment.restart_members()

            async def members_know() -> bool:
                entries = [
                    m.registry.entries.get("s1") for m in deployment.members
                ]
                return all(
                    entry is not None
                    and entry.registration.state == registry.GONE
                    for entry in entries
                )

            await test_path.wait_until(members_know)
            for sequence in (1, 2):
                await deployment.announce(left, sequence=sequence)
            assert await members_know()

    asyncio.run(run())


def test_restarted_gateway_learns_rate_limits_without_a_lease_holder(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a new gateway that sends a limited target all it has."""

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            limit = fleet.RateLimit(
                target="s1", incarnation=1000, limited=True, requests_per_s=0.5
            )
            for member in deployment.members:
                member.lease.invalidate()
                member._stop_controller()
                for task in member._fleet_tasks:
                    task.cancel()
                member.permits.record(
                    fleet.RateLimits(limits=[limit]),
                    asyncio.get_running_loop().time(),
                )
            second = deployment.new_gateway(
                "gateway-2", test_path.stub.free_port()
            )
            await second.start()
            try:

                async def knows_limit() -> bool:
                    target = second.targets.by_name.get("s1")
                    return target is not None and target.rate_limit is not None

                await test_path.wait_until(knows_limit)
            finally:
                await second.stop()

    asyncio.run(run())


def test_withdrawn_key_is_not_accepted_by_way_of_a_member_that_missed_it(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a restarted gateway that trusts a lagging member."""

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            lagging = deployment.members[2]
            await lagging.stop()
            document = test_translation.document(
                version=8, tenants=[{"name": "t1", "apiKeys": ["other"]}]
            )
            await test_path.wait_until(lambda: deployment.put_config(document))
            for member in deployment.members[:2]:
                await member.stop()
            await deployment.gateway.stop()
            config = lagging.config.model_copy(update={"first_start": False})
            deployment.members[2] = programs.PlatformControl(config)
            await deployment.members[2].start()
            port = test_path.stub.free_port()
            deployment.gateway = deployment.new_gateway("gateway", port)
            await deployment.gateway.start()

            async def is_connected() -> bool:
                peers = deployment.gateway.fleet_client.peers.values()
                return any(peer.connection is not None for peer in peers)

            await test_path.wait_until(is_connected)
            status, _, _ = await deployment.send_request("r1", port=port)
            assert status == 503
            for number in range(2):
                config = deployment.members[number].config.model_copy(
                    update={"first_start": False}
                )
                deployment.members[number] = programs.PlatformControl(config)
                await deployment.members[number].start()

            async def is_refused() -> bool:
                status, _, _ = await deployment.send_request("r2", port=port)
                assert status in (401, 503)
                return status == 401

            await test_path.wait_until(is_refused)
            assert not any(server.runs for server in deployment.servers)

    asyncio.run(run())
