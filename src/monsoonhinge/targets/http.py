"""Orders to targets over HTTP."""

import dataclasses

import aiohttp

from monsoonhinge.runtime import errors
from monsoonhinge.targets import bounded_http
from monsoonhinge.targets import connections
from monsoonhinge.targets import order_client
from monsoonhinge.targets import single_send

_MAX_RESPONSE_BYTES = 64 * 1024


class OrderRefused(errors.MonsoonhingeError):
    """The target refused the order and did not act on it."""


class OrderUnknown(errors.MonsoonhingeError):
    """It is unknown whether the target received the order."""


class HttpOrderClient:
    """Posts orders as JSON to ``/orders`` of the target."""

    def __init__(self) -> None:
        # Connections are not reused, so that no byte of an order can be sent
        # after its timeout.
        self._session = aiohttp.ClientSession(
            connector=connections.CleanConnector(force_close=True),
            response_class=bounded_http.BoundedResponse,
            middlewares=(single_send.send_once,),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def send_order(
        self, address: str, order: order_client.Order, *, timeout: float
    ) -> None:
        """Delivers an order; see ``order_client.OrderClient``."""
        step = f"order {order.action}"
        try:
            async with self._session.post(
                f"http://{address}/orders",
                json=dataclasses.asdict(order),
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                if response.status < 300:
                    return
                body = await bounded_http.read_body(
                    response, max_bytes=_MAX_RESPONSE_BYTES
                )
                reason = body.decode(errors="replace")[:200]
        except (aiohttp.ClientError, TimeoutError) as error:
            raise OrderUnknown(
                f"no response: {error!r}", step=step, peer=address
            ) from error
        if response.status >= 500:
            raise OrderUnknown(reason, step=step, peer=address)
        raise OrderRefused(reason, step=step, peer=address)
