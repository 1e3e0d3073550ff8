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


class _FakeGateway:
    """Gateway that records the messages of the schedulers."""

    def __init__(self) -> None:
        self.verdicts: list[messages.Verdict] = []
        self.updates: list[messages.DirectoryUpdate] = []

    def connected(self, link: connection.Connection) -> None:
        """Does nothing."""

    def disconnected(self, link: connection.Connection) -> None:
        """Does nothing."""

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> None:
        if isinstance(message, messages.Verdict):
            self.verdicts.append(message)
        elif isinstance(message, messages.DirectoryUpdate):
            self.updates.append(message)


class _Deployment:
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
        self.gateway = _FakeGateway()
        self.peers = [
            endpoint.Client(
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
            "t0", memory_bytes=7 * world.GB, checks_fencing=True
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
        """Announces the target repeatedly until a condition holds."""
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
        accepted = self.target.receive(world.order_client.Order(**document))
        return web.Response(status=200 if accepted else 409)


def test_demand_leads_to_a_load_and_tokens_survive_a_handover(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against decisions without orders and against a lost handover.

    The first scheduler loads a model and grants tokens. After it drains, the
    second one has the same decisions and does not grant the tokens again.
    """
    deployment = _Deployment(tmp_path)

    async def body() -> None:
        for peer in deployment.peers:
            await peer.request(
                messages.Subscribe(gateway="g"), messages.Ack, timeout=2
            )
        await deployment.until(lambda: deployment.active() is not None)
        first = deployment.active()
        assert first is not None
        number = deployment.schedulers.index(first)
        demand = messages.Demand(
            gateway="g",
            full=True,
            items=[
                messages.DemandItem(
                    model="m0", team="a", waiting=1, earliest_deadline_ms=9000
                )
            ],
        )
        for peer in deployment.peers:
            peer.notify(demand)
        await deployment.until(lambda: bool(deployment.orders))
        await deployment.until(lambda: bool(deployment.gateway.verdicts))
        assert list(
            deployment.control.replicated_state.state_machine.decisions
        ) == [deployment.orders[0]["order_id"]]
        ask = messages.GrantRequest(gateway="g", team="a", wanted=90)
        await deployment.until(lambda: first.budgets.budget is not None)
        grant = await deployment.peers[number].request(
            ask, messages.Grant, timeout=2
        )
        assert 90 <= grant.tokens <= 100
        deployment.target.end_load()
        first.drain()
        await first.finish()
        second = deployment.schedulers[1 - number]
        await deployment.until(
            lambda: (
                deployment.active() is second
                and second.budgets.budget is not None
            )
        )
        dump = second.dump()
        assert len(dump["decided"]) == 1
        assert dump["budgets"]["a"]["level"] <= 10 + 10 * 5
        try:
            await deployment.peers[number].request(
                ask, messages.Grant, timeout=2
            )
        except errors.RemoteError as error:
            assert error.code == "not_holder"
        else:
            raise AssertionError("a drained scheduler granted tokens")
        assert deployment.gateway.updates[0].full

    asyncio.run(deployment.run(body))


def test_standby_takes_over_after_a_crash(tmp_path: pathlib.Path) -> None:
    """Guards against demand that stays unserved after a scheduler crash."""
    deployment = _Deployment(tmp_path)

    async def body() -> None:
        await deployment.until(lambda: deployment.active() is not None)
        first = deployment.active()
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
            for peer in deployment.peers:
                if peer.connection is not None:
                    peer.notify(demand)
            return bool(deployment.orders)

        await deployment.until(ordered)
        assert deployment.orders[0]["fencing"] > fencing
        assert deployment.orders[0]["model"] == "m1"

    asyncio.run(deployment.run(body))


def test_load_changes_are_coalesced() -> None:
    """Guards against a load update per announcement.

    Structural changes must still be sent at once.
    """
    link = _FakeLink()
    targets = directory.Directory()
    sender = subscriptions.Subscriptions(directory=targets)
    sender.subscribe(link, "g")
    sender.set_interest(link, ["m"])
    sender.flush(0.0)
    for number in range(100):
        now = number / 100
        state = messages.TargetState(target="t", sequence=number + 1)
        state.replicas = [messages.ReplicaState(model="m", running=number)]
        targets.update(state, now)
        sender.update_target(state)
        sender.flush(now)
    assert len(link.sent) - 1 <= 3
    leaving = messages.TargetState(target="t", sequence=101, leaving=True)
    targets.update(leaving, 1.01)
    sender.update_target(leaving)
    before = len(link.sent)
    sender.flush(1.01)
    update = link.sent[before]
    assert isinstance(update, messages.DirectoryUpdate)
    assert update.targets[0].leaving


class _FakeLink:
    """Connection that records the messages sent on it."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def notify(self, message: messages.Message) -> None:
        self.sent.append(message)
