"""Stand-in for the load balancer in front of the gateways."""

import asyncio

import aiohttp

from monsoonhinge.bench import plan as plans
from monsoonhinge.bench import report

_POLL_S = 0.05
_POLL_TIMEOUT_S = 0.5

# Errors that arise before a connection exists, so that nothing was sent.
_NOT_CONNECTED = ("ClientConnectorError", "ConnectionTimeoutError")


class Balancer:
    """Chooses gateways in turn, only ready ones if readiness is watched.

    Attributes:
        attempts: Gateways that a request may be sent to.
        ready: Gateways that take requests.
    """

    def __init__(
        self, plan: plans.Plan, session: aiohttp.ClientSession
    ) -> None:
        self.ready = list(plan.gateways)
        self.attempts = len(plan.gateways) if plan.operations else 1
        self._gateways = list(plan.gateways)
        self._operations = list(plan.operations)
        self._session = session
        self._next = 0

    def choose(self) -> str:
        """Returns the gateway for the next request."""
        gateways = self.ready or self._gateways
        self._next += 1
        return gateways[self._next % len(gateways)]

    def may_resend(self, sample: report.Sample) -> bool:
        """Returns whether a stopping gateway surely did not run a request."""
        return (
            sample.outcome == "broken" and sample.code in _NOT_CONNECTED
        ) or (sample.code == "draining" and sample.not_run is True)

    async def watch(self) -> None:
        """Keeps ``ready`` up to date until it is cancelled."""
        while self._operations:
            states = await asyncio.gather(*map(self._poll, self._operations))
            self.ready = [
                gateway
                for gateway, state in zip(self._gateways, states, strict=True)
                if state
            ]
            await asyncio.sleep(_POLL_S)

    async def _poll(self, operations: str) -> bool:
        try:
            async with self._session.get(
                f"{operations}/readyz",
                timeout=aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
