"""Relay of freshness probes from a follower's subscribers to the leader."""

import asyncio

from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.consensus import transport as raft_transport
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import supervision

_RELAY_TIMEOUT_S = 1.0


class ProbeRelay:
    """Batches pending probes into one request to the leader.

    A probe that arrives while a request is in flight waits for the next one,
    because the quorum round that answers a probe must start after its arrival.
    """

    def __init__(
        self,
        *,
        driver: raft_driver.Driver,
        transport: raft_transport.Transport,
    ) -> None:
        self._driver = driver
        self._transport = transport
        self._subscribers: dict[str, messages.SubscriberState] = {}
        self._waiting: list[asyncio.Future[messages.Fresh]] = []
        self._task: asyncio.Task[None] | None = None
        self._supervisor = supervision.Supervisor()

    async def probe(
        self, subscriber: messages.SubscriberState
    ) -> messages.Fresh:
        """Returns the leader's reply to a probe of a subscriber.

        Raises:
            errors.MonsoonhingeError: No leader replied in time.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[messages.Fresh] = loop.create_future()
        self._subscribers[subscriber.session] = subscriber
        self._waiting.append(future)
        if self._task is None:
            self._task = self._supervisor.spawn("probe_relay", self._run())
        return await future

    def stop(self) -> None:
        """Fails all pending probes."""
        self._supervisor.cancel()
        _fail(self._waiting, errors.ConnectionLost("stopped", step="probe"))

    async def _run(self) -> None:
        try:
            while self._waiting:
                with supervision.contain("probe_relay"):
                    await self._relay_waiting()
        finally:
            self._task = None

    async def _relay_waiting(self) -> None:
        """Answers all probes that are pending now."""
        waiting, self._waiting = self._waiting, []
        request = messages.RelayProbe(
            subscribers=list(self._subscribers.values())
        )
        self._subscribers.clear()
        try:
            reply = await self._relay(request)
        except errors.MonsoonhingeError as error:
            _fail(waiting, error)
        except BaseException as error:
            _fail(
                waiting, errors.ConnectionLost(f"failed: {error}", step="probe")
            )
            raise
        else:
            for future in waiting:
                if not future.done():
                    future.set_result(reply)

    async def _relay(self, request: messages.RelayProbe) -> messages.Fresh:
        peer = self._transport.peers.get(self._driver.leader)
        if peer is None:
            raise types.NotLeader(leader="", step="relay probe")
        return await peer.request(
            request, messages.Fresh, timeout=_RELAY_TIMEOUT_S
        )


def _fail(
    futures: list[asyncio.Future[messages.Fresh]],
    error: errors.MonsoonhingeError,
) -> None:
    for future in futures:
        if not future.done():
            future.set_exception(error)
