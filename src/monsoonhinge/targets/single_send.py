"""Requests that a client session sends at most once.

aiohttp sends a request whose method is idempotent a second time by itself if
the connection breaks before the response (RFC 9112 section 9.3.1). Whether a
request may run twice follows from its route, and only the code that chooses the
attempts knows how many there were.
"""

import aiohttp


class ConnectionBroken(aiohttp.ClientConnectionError):
    """The connection broke after a part of the request may have been sent."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that sends a request at most once.

    Args:
        request: The request.
        handler: Sends the request.

    Raises:
        ConnectionBroken: The connection broke before the response, and the
            request may have run.
        aiohttp.ClientError: The request failed in another way.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        # aiohttp sends the request again after errors of these two types.
        raise ConnectionBroken(f"{type(error).__name__}: {error}") from error
