"""Reuse of connections to targets.

A target may send bytes that nobody asked for, such as a second copy of a
response, on a connection that is kept for later requests.
"""

import aiohttp


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
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                return connection
            connection.close()
