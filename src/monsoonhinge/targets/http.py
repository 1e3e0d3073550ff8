"""Orders to targets over HTTP."""

import dataclasses

import aiohttp

from monsoonhinge.runtime import errors
from monsoonhinge.targets import dialect


class OrderRefused(errors.MonsoonhingeError):
    """The target refused the order and did nothing."""


class OrderUnknown(errors.MonsoonhingeError):
    """Whether the target received the order is unknown."""


class HttpDialect:
    """Posts orders as JSON to ``/orders`` of the target."""

    def __init__(self) -> None:
        # An order must not linger in a kept connection after its timeout.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def send_order(
        self, address: str, order: dialect.Order, *, timeout: float
    ) -> None:
        """Delivers an order; see dialect.Dialect."""
        step = f"order {order.action}"
        try:
            async with self._session.post(
                f"http://{address}/orders",
                json=dataclasses.asdict(order),
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                if response.status < 300:
                    return
                reason = (await response.text())[:200]
        except (aiohttp.ClientError, TimeoutError) as error:
            raise OrderUnknown(
                f"no answer: {error!r}", step=step, peer=address
            ) from error
        if response.status >= 500:
            raise OrderUnknown(reason, step=step, peer=address)
        raise OrderRefused(reason, step=step, peer=address)
