"""HTTP client that sends orders to servers and fetches their reports."""

from collections.abc import Callable
import json
from typing import Any

import aiohttp
import pydantic

from monsoonhinge.fleet import engine_client
from monsoonhinge.platform import models
from monsoonhinge.platform import registrations
from monsoonhinge.platform import wire
from monsoonhinge.targets import bounded_http
from monsoonhinge.targets import connections
from monsoonhinge.targets import single_send

_MAX_RESPONSE_BYTES = 1024 * 1024

_RESPONSE_BY_STATUS = {
    202: engine_client.OrderResponse.STARTED,
    200: engine_client.OrderResponse.APPLIED,
    409: engine_client.OrderResponse.CONFLICT,
    412: engine_client.OrderResponse.FENCED,
    421: engine_client.OrderResponse.OTHER_INSTANCE,
    400: engine_client.OrderResponse.INVALID,
}


class _Report(models.WireModel):
    held: list[registrations.HeldModel] = pydantic.Field(
        alias="models", default=[]
    )
    # Whether a load or unload of a model is in progress.
    busy: bool = False
    # Number of orders accepted since the start. In announcements, the field of
    # the same name is the number of the announcement.
    sequence: models.Count
    # Numbers of waiting and running requests.
    queued: models.Count = 0
    active: models.Count = 0
    # Adapters that are being loaded, as MODEL/ADAPTER@VERSION.
    pending: list[str] = []
    available: registrations.Available = registrations.Available()


class PlatformEngineClient:
    """HTTP client of the servers; see ``engine_client.EngineClient``.

    Attributes:
        on_leaving: Called with the id of a server whose response says that it
            is leaving.
    """

    def __init__(self) -> None:
        self.on_leaving: Callable[[str], None] = lambda target: None
        # Responses to orders and reports name no request. Connections are not
        # reused, so that no late copy of one is taken for another.
        self._session = aiohttp.ClientSession(
            connector=connections.CleanConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            response_class=bounded_http.BoundedResponse,
            middlewares=(single_send.send_once,),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def order(
        self,
        *,
        address: str,
        target: str,
        order: engine_client.Order,
        timeout_s: float,
    ) -> engine_client.OrderResponse:
        """Sends an order and returns the response of the server."""
        body: dict[str, Any] = {
            "operation": "load" if order.load else "unload",
            "model": order.model,
            "expect": order.expected_order_count,
            "holder": order.holder,
            "fencingToken": order.fencing,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        status, _ = await self._request(
            "POST", address, wire.ORDER_PATH, target, timeout_s, body
        )
        response = _RESPONSE_BY_STATUS.get(status)
        if response is None:
            raise engine_client.NoResponseError(
                f"status {status}", step="order", peer=address
            )
        return response

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> engine_client.Report:
        """Fetches the report of a server."""
        status, data = await self._request(
            "GET", address, wire.REPORT_PATH, target, timeout_s, None
        )
        if status != 200:
            raise engine_client.NoResponseError(
                f"status {status}", step="report", peer=address
            )
        try:
            report = _Report.model_validate_json(data)
        except pydantic.ValidationError as error:
            raise engine_client.NoResponseError(
                "the report is malformed", step="report", peer=address
            ) from error
        return engine_client.Report(
            models={model.name: model.adapters for model in report.held},
            busy=report.busy,
            order_count=report.sequence,
            pending_adapters=[
                _parse_pending_adapter(item) for item in report.pending
            ],
            in_memory=report.available.in_memory,
            on_disk=report.available.on_disk,
            waiting=report.queued,
            running=report.active,
        )

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        target: str,
        timeout_s: float,
        body: dict[str, Any] | None,
    ) -> tuple[int, bytes]:
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=None if body is None else json.dumps(body).encode(),
                headers={
                    wire.EXPECTED_INSTANCE: target,
                    "Content-Type": "application/json",
                },
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                body_bytes = await bounded_http.read_body(
                    response, max_bytes=_MAX_RESPONSE_BYTES
                )
                # With 421, another server responds at the address.
                if response.status != 421 and wire.says_leaving(
                    response.headers
                ):
                    self.on_leaving(target)
                return response.status, body_bytes
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise engine_client.NoResponseError(
                f"no response: {type(error).__name__}",
                step=f"{method} {path}",
                peer=address,
            ) from error


def _parse_pending_adapter(text: str) -> tuple[str, str]:
    model, _, rest = text.partition(wire.ADAPTER_SEPARATOR)
    return model, rest.partition("@")[0]
