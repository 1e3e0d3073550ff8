"""Connections of a gateway to the control members."""

import asyncio
from collections.abc import Callable, Sequence
import contextlib
import logging

from monsoonhinge.control import client as control_client
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events
from monsoonhinge.runtime import settings

_WATCH_TIMEOUT_S = 2.0

# Members whose registrations a gateway follows; each of them knows all. One
# may be cut off from the others without a sign, hence three.
_FOLLOWED = 3
_GRANT_TIMEOUT_S = 0.5

# Demand that changes within this time is sent together.
_GATHER_S = 0.004

# Demand is repeated this often, since the placing member forgets it.
_REPEAT_S = 1.0

_LOG = logging.getLogger(__name__)


class FleetLink(control_client.Client):
    """Follows configuration and registrations, and tells what is needed.

    Attributes:
        gateways: Gateways that are connected to the control members.
    """

    def __init__(
        self,
        *,
        members: Sequence[settings.Member],
        identity: connection.Identity,
        listener: control_client.Listener,
        registered: Callable[[list[fleet.Registration]], None],
        placed: Callable[[fleet.Placements], None],
        demand: Callable[[], fleet.FleetDemand],
    ) -> None:
        super().__init__(members=members, identity=identity, listener=listener)
        self.gateways = 1
        self._port = members[0].address.port
        self._registered = registered
        self._placed = placed
        self._demand = demand
        # Members whose registrations are followed.
        self._followed: set[connection.Connection] = set()
        self._active: dict[connection.Connection, fleet.FleetActive] = {}
        self._sending: asyncio.TimerHandle | None = None
        self._watching: set[asyncio.Task[None]] = set()

    def connected(self, link: connection.Connection) -> None:
        """Subscribes to the registrations of a member."""
        events.emit(
            events.DEPENDENCY,
            dependency="control",
            peer=link.peer,
            state="connected",
        )
        self._watch_member(link)

    def disconnected(self, link: connection.Connection) -> None:
        """Forgets a member."""
        events.emit(
            events.DEPENDENCY,
            dependency="control",
            peer=link.peer,
            state="lost",
        )
        self._active.pop(link, None)
        self._followed.discard(link)
        others = [
            peer.connection
            for peer in self.peers.values()
            if peer.connection is not None
            and peer.connection not in self._followed
        ]
        if others and len(self._followed) < _FOLLOWED:
            self._watch_member(others[0])

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Takes what a member pushes."""
        match message:
            case fleet.Registrations():
                if message.subscribers:
                    self.gateways = message.subscribers
                self._meet(message.members)
                self._registered(message.registrations)
            case fleet.FleetActive():
                self._active[link] = message
                self.demand_changed()
            case fleet.Placements():
                self._placed(message)
            case _:
                return await super().handle(link, message)
        return None

    async def request_grant(
        self, request: messages.GrantRequest
    ) -> messages.Grant:
        """Asks the member that grants for tokens.

        Raises:
            errors.MonsoonhingeError: No member answered.
        """
        link = self._holder(lambda active: active.budget_fencing)
        if link is None:
            raise errors.ConnectionLost("no member grants", step="grant")
        return await link.request(
            request, messages.Grant, timeout=_GRANT_TIMEOUT_S
        )

    def demand_changed(self) -> None:
        """Tells the placing member soon what is needed."""
        if self._sending is None:
            self._sending = asyncio.get_running_loop().call_later(
                _GATHER_S, self._send_demand
            )

    async def repeat_demand(self) -> None:
        """Sends the demand regularly; runs until cancelled."""
        while True:
            await asyncio.sleep(_REPEAT_S)
            self.demand_changed()

    def _send_demand(self) -> None:
        self._sending = None
        link = self._holder(lambda active: active.fencing)
        if link is not None:
            with contextlib.suppress(errors.ConnectionLost):
                link.notify(self._demand())

    def _holder(
        self, fencing: Callable[[fleet.FleetActive], int]
    ) -> connection.Connection | None:
        """Returns the member with the highest fencing number of a lease."""
        numbers = {
            link: number
            for link, active in self._active.items()
            if (number := fencing(active))
        }
        return max(numbers, key=numbers.__getitem__, default=None)

    def _meet(self, names: list[str]) -> None:
        for name in names:
            self.add_member(
                settings.Member(
                    name=name,
                    address=settings.Address(host=name, port=self._port),
                )
            )
        if names:
            for name in set(self.peers) - set(names):
                self.remove_member(name)

    def _watch_member(self, link: connection.Connection) -> None:
        follow = len(self._followed) < _FOLLOWED
        if follow:
            self._followed.add(link)
        task = asyncio.get_running_loop().create_task(
            self._subscribe_to(link, follow)
        )
        self._watching.add(task)
        task.add_done_callback(self._watching.discard)

    async def _subscribe_to(
        self, link: connection.Connection, follow: bool
    ) -> None:
        try:
            await link.request(
                fleet.WatchRegistry(placements_only=not follow),
                messages.Ack,
                timeout=_WATCH_TIMEOUT_S,
            )
        except errors.MonsoonhingeError as error:
            _LOG.warning("cannot watch the registrations: %s", error)
            link.abort()
