"""Tests of a gateway that loses its control members while requests wait."""

import asyncio
import pathlib

from tests.platform import test_path
from tests.platform import test_translation

_MAX_STALENESS_S = 0.8

# A waiting request is refused well before its caller's deadline of 5 s.
_MAX_WAIT_S = 2.5


def test_requests_that_need_the_control_members_are_refused_at_once(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a cut-off gateway that holds requests to their end."""

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            gateway = deployment.gateway
            document = test_translation.document(
                version=8, tenants=[{"name": "t1", "apiKeys": ["k1"]}]
            )
            # The caller of a stream with this objective leaves late.
            document["routes"][0]["targetLatencyMs"] = 4000
            await test_path.wait_until(lambda: deployment.put_config(document))

            async def has_configuration() -> bool:
                return gateway.fleet_client.view.version == 8

            await test_path.wait_until(has_configuration)
            gateway.config = gateway.config.model_copy(
                update={"max_staleness_s": _MAX_STALENESS_S}
            )
            gateway.admission.max_staleness_s = _MAX_STALENESS_S
            for target in gateway.targets.by_name.values():
                target.models.clear()
            waiting = asyncio.create_task(deployment.send_request("r1"))

            async def waits() -> bool:
                return gateway.wait_queue.count() == 1

            await test_path.wait_until(waits)
            loop = asyncio.get_running_loop()
            cut_at = loop.time()
            await gateway.fleet_client.stop()
            status, headers, _ = await waiting
            assert status == 503
            assert "Retry-After" in headers
            assert loop.time() - cut_at < _MAX_WAIT_S

    asyncio.run(run())
