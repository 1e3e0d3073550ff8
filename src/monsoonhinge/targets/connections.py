"""Reuse of connections to targets.

A target may send bytes that nobody asked for, such as a second copy of a
response, on a connection that is kept for later requests.
"""

from typing import Any

import aiohttp

# Attribute of a connection that has carried a response.
_HAS_CARRIED_RESPONSE = "monsoonhinge_has_carried_response"


class CleanConnector(aiohttp.TCPConnector):
    """Reuses only connections on which no unrequested byte has arrived.

    aiohttp checks this when a request ends, and not again before it gives the
    connection to the next request.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Returns a pooled or a new connection for a request."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol: Any = connection.protocol
            # A new connection is used even if its target has sent something.
            if not is_reused(protocol) or not protocol.should_close:
                return connection
            connection.close()


def is_reused(protocol: Any) -> bool:
    """Returns whether a connection has carried a response before."""
    return getattr(protocol, _HAS_CARRIED_RESPONSE, False)


def mark_reused(protocol: Any) -> None:
    """Records that a connection carries a response."""
    setattr(protocol, _HAS_CARRIED_RESPONSE, True)
