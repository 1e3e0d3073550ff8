"""Client of a gateway for the control members."""

import asyncio
from collections.abc import Callable, Sequence
import contextlib
import logging

from monsoonhinge.control import client as control_client
from monsoonhinge.ingress import resumption
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import messages
from monsoonhinge.protocol import registration_batches
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events
from monsoonhinge.runtime import settings

_SUBSCRIBE_TIMEOUT_S = 2.0

# Each member publishes the registrations of all targets. A gateway subscribes
# to three of them, since a member that is partitioned from the others cannot
# be recognized as such.
_MAX_SUBSCRIBED_MEMBERS = 3
_GRANT_TIMEOUT_S = 0.5
_PERMIT_TIMEOUT_S = 0.3
_ORIGIN_TIMEOUT_S = 0.4

# Changes of the demand within this time are sent in one message.
_DEMAND_DELAY_S = 0.004

# Interval at which the demand is sent again, since the fleet lease holder
# discards demand that is not renewed.
_DEMAND_INTERVAL_S = 1.0

_LOG = logging.getLogger("monsoonhinge.ingress.link")


class FleetClient(control_client.Client):
    """Receives configuration and registrations, and reports the demand.

    Attributes:
        gateway_count: Number of gateways that are connected to the control
            members.
    """

    def __init__(
        self,
        *,
        members: Sequence[settings.Member],
        identity: connection.Identity,
        listener: control_client.Listener,
        on_registrations: Callable[[list[fleet.Registration]], None],
        on_placements: Callable[[fleet.Placements], None],
        on_quarantines: Callable[[str, fleet.PromptQuarantines], None],
        on_rate_limits: Callable[[fleet.RateLimits], None],
        on_model_delays: Callable[[fleet.ModelDelays], None],
        current_departures: Callable[[], list[fleet.Registration]],
        current_demand: Callable[[], fleet.FleetDemand],
        current_origins: Callable[[], list[fleet.StreamOrigins]],
    ) -> None:
        super().__init__(members=members, identity=identity, listener=listener)
        self.gateway_count = 1
        self._port = members[0].address.port
        self._on_registrations = on_registrations
        self._on_placements = on_placements
        self._on_quarantines = on_quarantines
        self._on_rate_limits = on_rate_limits
        self._on_model_delays = on_model_delays
        self._current_departures = current_departures
        self._current_demand = current_demand
        self._current_origins = current_origins
        # Members to whose registrations this gateway subscribes.
        self._subscribed_members: set[connection.Connection] = set()
        self._active: dict[connection.Connection, fleet.FleetActive] = {}
        self._demand_timer: asyncio.TimerHandle | None = None

    def connected(self, link: connection.Connection) -> None:
        """Subscribes to the updates of a member."""
        events.emit(
            events.DEPENDENCY,
            dependency="control",
            peer=link.peer,
            state="connected",
        )
        self._subscribe_to_member(link)
        departures = self._current_departures()
        if departures:
            with contextlib.suppress(errors.ConnectionLost):
                for batch in registration_batches.split(departures):
                    link.notify(batch)

    def disconnected(self, link: connection.Connection) -> None:
        """Drops the subscription to a member and replaces it by another."""
        events.emit(
            events.DEPENDENCY,
            dependency="control",
            peer=link.peer,
            state="lost",
        )
        self._on_quarantines(link.peer, fleet.PromptQuarantines())
        self._active.pop(link, None)
        self._subscribed_members.discard(link)
        others = [
            peer.connection
            for peer in self.peers.values()
            if peer.connection is not None
            and peer.connection not in self._subscribed_members
        ]
        if others and len(self._subscribed_members) < _MAX_SUBSCRIBED_MEMBERS:
            self._subscribe_to_member(others[0])

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Applies an update that a member sent."""
        match message:
            case fleet.Registrations():
                if message.subscribers:
                    self.gateway_count = message.subscribers
                self._update_members(message.members)
                self._on_registrations(message.registrations)
            case fleet.FleetActive():
                if link not in self._active:
                    self._send_origins(link, message, self._current_origins())
                self._active[link] = message
                self.demand_changed()
            case fleet.Placements():
                self._on_placements(message)
            case fleet.ModelDelays():
                self._on_model_delays(message)
            case fleet.RateLimits():
                self._on_rate_limits(message)
            case fleet.PromptQuarantines():
                self._on_quarantines(link.peer, message)
            case _:
                return await super().handle(link, message)
        return None

    async def request_grant(
        self, request: messages.GrantRequest
    ) -> messages.Grant:
        """Requests tokens from the budget lease holder.

        Raises:
            errors.MonsoonhingeError: No member holds the lease, or it did not
                reply in time.
        """
        link = self._lease_holder(lambda active: active.budget_fencing)
        if link is None:
            raise errors.ConnectionLost(
                "no control member holds the budget lease", step="grant"
            )
        return await link.request(
            request, messages.Grant, timeout=_GRANT_TIMEOUT_S
        )

    async def request_permit(self, target: str) -> float:
        """Asks the fleet lease holder to send a request to a limited target.

        Returns:
            0 if it may be sent, else the seconds until it may ask again.

        Raises:
            errors.MonsoonhingeError: No member holds the lease, or it did not
                reply in time.
        """
        link = self._lease_holder(lambda active: active.fencing)
        if link is None:
            raise errors.ConnectionLost(
                "no control member holds the fleet lease", step="permit"
            )
        permit = await link.request(
            fleet.PermitRequest(target=target),
            fleet.Permit,
            timeout=_PERMIT_TIMEOUT_S,
        )
        return permit.wait_us / 1e6

    async def find_stream_origin(
        self, request: fleet.FindStreamOrigin
    ) -> resumption.MemberReplies:
        """Asks all connected members where a stream began.

        Returns:
            Their replies; those of the others do not matter once one of them
            has a record.
        """
        tasks = {
            asyncio.create_task(
                link.request(
                    request, fleet.FoundStreamOrigin, timeout=_ORIGIN_TIMEOUT_S
                )
            )
            for link, active in self._active.items()
            if active.keeps_stream_origins
        }
        replies: list[fleet.FoundStreamOrigin] = []
        try:
            for next_reply in asyncio.as_completed(tasks):
                with contextlib.suppress(errors.MonsoonhingeError):
                    replies.append(await next_reply)
                    if replies[-1].recorded:
                        break
        finally:
            for task in tasks:
                task.cancel()
        return resumption.MemberReplies(
            replies=replies, members=len(self.peers)
        )

    def send_origins(self, message: fleet.StreamOrigins) -> None:
        """Sends records of streams to all members that read them."""
        for link, active in self._active.items():
            self._send_origins(link, active, [message])

    def report_to_all(
        self,
        report: fleet.TargetCrash
        | fleet.PartsServed
        | fleet.RateLimits
        | fleet.Registrations,
    ) -> None:
        """Sends a report to all connected control members.

        Each of them keeps what it says, so that none is needed to act on it.
        """
        for peer in self.peers.values():
            if peer.connection is not None:
                with contextlib.suppress(errors.ConnectionLost):
                    peer.connection.notify(report)

    def demand_changed(self) -> None:
        """Schedules a report to the fleet lease holder."""
        if self._demand_timer is None:
            self._demand_timer = asyncio.get_running_loop().call_later(
                _DEMAND_DELAY_S, self._send_demand
            )

    async def repeat_demand(self) -> None:
        """Reports the demand periodically; runs until cancelled."""
        while True:
            await asyncio.sleep(_DEMAND_INTERVAL_S)
            self.demand_changed()

    def _send_demand(self) -> None:
        self._demand_timer = None
        link = self._lease_holder(lambda active: active.fencing)
        if link is not None:
            with contextlib.suppress(errors.ConnectionLost):
                link.notify(self._current_demand())

    def _send_origins(
        self,
        link: connection.Connection,
        active: fleet.FleetActive,
        origins: list[fleet.StreamOrigins],
    ) -> None:
        if not active.keeps_stream_origins:
            return
        with contextlib.suppress(errors.ConnectionLost):
            for message in origins:
                link.notify(message)

    def _lease_holder(
        self, fencing: Callable[[fleet.FleetActive], int]
    ) -> connection.Connection | None:
        """Returns the member with the highest fencing token of a lease."""
        fencing_by_member = {
            link: fencing_number
            for link, active in self._active.items()
            if (fencing_number := fencing(active))
        }
        return max(
            fencing_by_member, key=fencing_by_member.__getitem__, default=None
        )

    def _update_members(self, names: list[str]) -> None:
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

    def _subscribe_to_member(self, link: connection.Connection) -> None:
        with_registrations = (
            len(self._subscribed_members) < _MAX_SUBSCRIBED_MEMBERS
        )
        if with_registrations:
            self._subscribed_members.add(link)
        self._supervisor.spawn(
            "subscribe_registrations",
            self._send_subscription(link, with_registrations),
        )

    async def _send_subscription(
        self, link: connection.Connection, with_registrations: bool
    ) -> None:
        try:
            await link.request(
                fleet.WatchRegistry(placements_only=not with_registrations),
                messages.Ack,
                timeout=_SUBSCRIBE_TIMEOUT_S,
            )
        except errors.MonsoonhingeError as error:
            _LOG.warning("cannot subscribe to the registrations: %s", error)
            link.abort()


def seed_members(config: settings.Ingress) -> list[settings.Member]:
    """Returns the control members that the settings name."""
    return [
        settings.Member(
            name=seed.host,
            address=settings.Address(host=seed.host, port=config.control_port),
        )
        for seed in config.seeds
    ]
