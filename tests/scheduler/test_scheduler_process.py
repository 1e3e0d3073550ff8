"""Tests of the scheduler process over loopback."""

import asyncio
from collections.abc import Awaitable, Callable
import pathlib
import socket
from typing import Any

from aiohttp import web

from monsoonhinge.config import schema
from monsoonhinge.config import validate
from monsoonhinge.control import process as control_process
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings
from monsoonhinge.scheduler import directory
from monsoonhinge.scheduler import process
from monsoonhinge.scheduler import subscriptions
from tests.scheduler import scheduler_world as world

_SECRET = "0123456789abcdef"


def _address() -> settings.Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return settings.Address(host="127.0.0.1", port=probe.getsockname()[1])


class _Gateway:
    """Collects what a scheduler sends."""

    def __init__(self) -> None:
        self.verdicts: list[messages.Verdict] = []
        self.updates: list[messages.DirectoryUpdate] = []

    def connected(self, link: connection.Connection) -> None:
        """Nothing to do."""

    def disconnected(self, link: connection.Connection) -> None:
        """Nothing to do."""

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> None:
        if isinstance(message, messages.Verdict):
            self.verdicts.append(message)
        elif isinstance(message, messages.DirectoryUpdate):
            self.updates.append(message)


class _Fleet:
    """A control member, two schedulers, a target and a gateway."""

    def __init__(self, data_dir: pathlib.Path) -> None:
        common: dict[str, Any] = {
            "availability_zone": "z0",
            "cluster_secret": _SECRET,
        }
        member = settings.Member(name="c0", address=_address())
        self.control_settings = settings.Control(
            node="c0",
            operations=_address(),
            listen=member.address,
            data_dir=data_dir,
            members=[member],
            **common,
        )
        self.schedulers = [
            process.SchedulerProcess.from_config(
                settings.Scheduler(
                    node=f"s{number}",
                    operations=_address(),
                    listen=_address(),
                    control=[member],
                    **common,
                )
            )
            for number in range(2)
        ]
        self.gateway = _Gateway()
        self.peers = [
            endpoint.Peer(
                host=scheduler.config.listen.host,
                port=scheduler.config.listen.port,
                identity=connection.Identity(
                    node="g",
                    role="gateway",
                    incarnation=1,
                    secret=_SECRET.encode(),
                ),
                handler=self.gateway,
            )
            for scheduler in self.schedulers
        ]
        self.target = world.Target(
            "t0", memory=7 * world.GB, checks_fencing=True
        )
        self.target_address = _address()
        self.orders: list[dict[str, Any]] = []

    async def run(self, body: Callable[[], Awaitable[None]]) -> None:
        application = web.Application()
        application.router.add_post("/orders", self._order)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(
            runner, self.target_address.host, self.target_address.port
        ).start()
        self.control = control_process.ControlProcess.from_config(
            self.control_settings
        )
        await self.control.start()
        view = world.make_view()
        team = schema.Team(name="a", tokens_per_s=10, burst_tokens=100)
        items = [*view.objects.values(), team]
        for scheduler, peer in zip(self.schedulers, self.peers, strict=True):
            await scheduler.start()
            peer.start()
        try:
            async with asyncio.timeout(20):
                await self.until(
                    lambda: (
                        bool(self.schedulers[0].control.peers)
                        and all(peer.connection for peer in self.peers)
                    )
                )
                result = await self.schedulers[0].control.propose(
                    commands.PublishConfig(
                        version=1,
                        digest=validate.digest(items),
                        publisher="p",
                        objects=[schema.canonical(item) for item in items],
                    ),
                    commands.ConfigResult,
                    timeout=5,
                )
                assert result.code == "accepted", result
                await body()
        finally:
            for peer in self.peers:
                await peer.stop()
            for scheduler in self.schedulers:
                await scheduler.stop()
            await self.control.stop()
            await runner.cleanup()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Announces the target until a condition holds."""
        while not condition():
            state = self.target.announce()
            state.address = str(self.target_address)
            for peer in self.peers:
                if peer.connection is not None:
                    peer.notify(messages.Announcements(targets=[state]))
            await asyncio.sleep(0.05)

    def active(self) -> process.SchedulerProcess | None:
        """Returns the scheduler that holds the lease."""
        for scheduler in self.schedulers:
            if scheduler.active is not None and scheduler.active.core:
                return scheduler
        return None

    async def _order(self, request: web.Request) -> web.Response:
        document = await request.json()
        self.orders.append(document)
        accepted = self.target.receive(world.dialect.Order(**document))
        return web.Response(status=200 if accepted else 409)


def test_demand_leads_to_a_load_and_tokens_survive_a_handover(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a process that does not carry out its decisions."""
    fleet = _Fleet(tmp_path)

    async def body() -> None:
        for peer in fleet.peers:
            await peer.request(
                messages.Subscribe(gateway="g"), messages.Ack, timeout=2
            )
        await fleet.until(lambda: fleet.active() is not None)
        first = fleet.active()
        assert first is not None
        number = fleet.schedulers.index(first)
        demand = messages.Demand(
            gateway="g",
            full=True,
            items=[
                messages.DemandItem(
                    model="m0", team="a", waiting=1, earliest_deadline_ms=9000
                )
            ],
        )
        for peer in fleet.peers:
            peer.notify(demand)
        await fleet.until(lambda: bool(fleet.orders))
        await fleet.until(lambda: bool(fleet.gateway.verdicts))
        assert list(fleet.control.replica.machine.decisions) == [
            fleet.orders[0]["order_id"]
        ]
        ask = messages.GrantRequest(gateway="g", team="a", wanted=90)
        await fleet.until(lambda: first.budgets.budget is not None)
        grant = await fleet.peers[number].request(
            ask, messages.Grant, timeout=2
        )
        assert 90 <= grant.tokens <= 100
        fleet.target.end_load()
        first.drain()
        await first.finish()
        second = fleet.schedulers[1 - number]
        await fleet.until(
            lambda: (
                fleet.active() is second and second.budgets.budget is not None
            )
        )
        dump = second.dump()
        assert len(dump["decided"]) == 1
        assert dump["budgets"]["a"]["level"] <= 10 + 10 * 5
        try:
            await fleet.peers[number].request(ask, messages.Grant, timeout=2)
        except errors.RemoteError as error:
            assert error.code == "not_holder"
        else:
            raise AssertionError("a drained scheduler granted tokens")
        assert fleet.gateway.updates[0].full

    asyncio.run(fleet.run(body))


def test_standby_takes_over_after_a_crash(tmp_path: pathlib.Path) -> None:
    """Guards against demand that no scheduler serves after a crash."""
    fleet = _Fleet(tmp_path)

    async def body() -> None:
        await fleet.until(lambda: fleet.active() is not None)
        first = fleet.active()
        assert first is not None and first.active is not None
        assert first.active.core is not None
        fencing = first.active.core.orders.fencing
        await first.stop()
        first.active = None
        demand = messages.Demand(
            gateway="g",
            items=[messages.DemandItem(model="m1", team="a", waiting=1)],
        )

        def ordered() -> bool:
            for peer in fleet.peers:
                if peer.connection is not None:
                    peer.notify(demand)
            return bool(fleet.orders)

        await fleet.until(ordered)
        assert fleet.orders[0]["fencing"] > fencing
        assert fleet.orders[0]["model"] == "m1"

    asyncio.run(fleet.run(body))


def test_load_changes_are_coalesced() -> None:
    """Guards against a directory stream beyond the gateways' byte budget."""
    link = _Link()
    book = directory.Directory()
    sender = subscriptions.Subscriptions(directory=book)
    sender.add(link, "g")
    sender.set_interest(link, ["m"])
    sender.flush(0.0)
    for number in range(100):
        now = number / 100
        state = messages.TargetState(target="t", sequence=number + 1)
        state.replicas = [messages.ReplicaState(model="m", running=number)]
        book.update(state, now)
        sender.update_target(state)
        sender.flush(now)
    assert len(link.sent) - 1 <= 3
    leaving = messages.TargetState(target="t", sequence=101, leaving=True)
    book.update(leaving, 1.01)
    sender.update_target(leaving)
    before = len(link.sent)
    sender.flush(1.01)
    update = link.sent[before]
    assert isinstance(update, messages.DirectoryUpdate)
    assert update.targets[0].leaving


class _Link:
    """A connection that keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def notify(self, message: messages.Message) -> None:
        self.sent.append(message)
