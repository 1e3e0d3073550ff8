"""Relays the probes of a follower's subscribers to the leader."""

import asyncio

from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.consensus import transport as raft_transport
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_RELAY_TIMEOUT_S = 1.0


class ProbeRelay:
    """Sends all pending probes as one to the leader.

    A probe that arrives while a relayed one is on its way waits for the next,
    because its quorum round must begin after its arrival.
    """

    def __init__(
        self,
        *,
        driver: raft_driver.Driver,
        transport: raft_transport.Transport,
    ) -> None:
        self._driver = driver
        self._transport = transport
        self._pending: dict[str, messages.SubscriberState] = {}
        self._waiting: list[asyncio.Future[messages.Fresh]] = []
        self._task: asyncio.Task[None] | None = None

    async def probe(
        self, subscriber: messages.SubscriberState
    ) -> messages.Fresh:
        """Returns the leader's answer to a probe of a subscriber.

        Raises:
            errors.MonsoonhingeError: No leader answered.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[messages.Fresh] = loop.create_future()
        self._pending[subscriber.session] = subscriber
        self._waiting.append(future)
        if self._task is None:
            self._task = loop.create_task(self._run())
        return await future

    async def _run(self) -> None:
        while self._waiting:
            waiting, self._waiting = self._waiting, []
            request = messages.RelayProbe(
                subscribers=list(self._pending.values())
            )
            self._pending.clear()
            try:
                fresh = await self._relay(request)
            except errors.MonsoonhingeError as error:
                for future in waiting:
                    if not future.done():
                        future.set_exception(error)
                continue
            for future in waiting:
                if not future.done():
                    future.set_result(fresh)
        self._task = None

    async def _relay(self, request: messages.RelayProbe) -> messages.Fresh:
        peer = self._transport.peers.get(self._driver.leader)
        if peer is None:
            raise types.NotLeader(leader="", step="relay probe")
        return await peer.request(
            request, messages.Fresh, timeout=_RELAY_TIMEOUT_S
        )
