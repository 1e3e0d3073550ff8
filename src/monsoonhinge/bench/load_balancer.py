"""Simulates the load balancer in front of the gateways."""

import asyncio

import aiohttp

from monsoonhinge.bench import load_plan
from monsoonhinge.bench import report

_POLL_S = 0.05
_POLL_TIMEOUT_S = 0.5

# Errors raised before a connection is established; nothing was sent.
_CONNECT_ERRORS = ("ClientConnectorError", "ConnectionTimeoutError")


class LoadBalancer:
    """Distributes requests to gateways by round robin.

    If the plan names operations addresses, only gateways that report
    themselves as ready are chosen.

    Attributes:
        max_attempts: Maximum number of times that one request is sent.
        ready_gateways: URLs of the gateways that accept requests.
    """

    def __init__(
        self, plan: load_plan.LoadPlan, session: aiohttp.ClientSession
    ) -> None:
        self.ready_gateways = list(plan.gateways)
        self.max_attempts = len(plan.gateways) if plan.operations else 1
        self._gateways = list(plan.gateways)
        self._operations = list(plan.operations)
        self._session = session
        self._request_count = 0

    def choose_gateway(self) -> str:
        """Returns the URL of the gateway for the next request."""
        gateways = self.ready_gateways or self._gateways
        self._request_count += 1
        return gateways[self._request_count % len(gateways)]

    def may_retry(self, sample: report.RequestSample) -> bool:
        """Returns whether a stopping gateway certainly did not run a request.

        Only then is it safe to send the request to another gateway.
        """
        return (
            sample.outcome == "broken" and sample.code in _CONNECT_ERRORS
        ) or (sample.code == "draining" and sample.not_run is True)

    async def watch_readiness(self) -> None:
        """Polls readiness and updates ``ready_gateways`` until cancelled."""
        while self._operations:
            readiness = await asyncio.gather(
                *map(self._is_ready, self._operations)
            )
            self.ready_gateways = [
                gateway
                for gateway, is_ready in zip(
                    self._gateways, readiness, strict=True
                )
                if is_ready
            ]
            await asyncio.sleep(_POLL_S)

    async def _is_ready(self, operations_url: str) -> bool:
        try:
            async with self._session.get(
                f"{operations_url}/readyz",
                timeout=aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
