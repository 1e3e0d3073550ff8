"""Tests of the decision where a stream that is resumed goes on."""

import asyncio
import dataclasses

import multidict
import pytest

from monsoonhinge.config import ingress as objects
from monsoonhinge.config import view as config_view
from monsoonhinge.control import config_freshness
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import resumption
from monsoonhinge.ingress import stream_origins
from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet

_TIMEOUT_S = 15.0
_LONG_S = 10 * _TIMEOUT_S


def _registration(name: str, software_version: str) -> fleet.Registration:
    return fleet.Registration(
        target=name,
        incarnation=1,
        sequence=1,
        service="s",
        address=f"{name}:80",
        state="ready",
        software_version=software_version,
    )


def _reply(
    *, sole_version: str = "v1", sole_for_s: float = _LONG_S, recorded: str = ""
) -> fleet.FoundStreamOrigin:
    return fleet.FoundStreamOrigin(
        recorded=bool(recorded),
        service="s" if recorded else "",
        software_version=recorded,
        sole_version=sole_version,
        sole_for_ms=int(sole_for_s * 1000),
    )


class _World:
    """A gateway and the replies of its three control members."""

    def __init__(self, *replies: fleet.FoundStreamOrigin) -> None:
        self.targets = target_table.TargetTable(known_since=-_LONG_S)
        self.sent: list[fleet.StreamOrigins] = []
        self.origins = stream_origins.StreamOrigins(
            targets=self.targets, send=self.sent.append
        )
        self.backends = [objects.IngressBackend(service="s")]
        self.asked = 0
        self._replies = replies

    def register(self, name: str, software_version: str, now: float) -> None:
        self.targets.register(_registration(name, software_version), now)

    async def ask(
        self, request: fleet.FindStreamOrigin
    ) -> resumption.MemberReplies:
        self.asked += 1
        return resumption.MemberReplies(replies=self._replies, members=3)

    async def bind(self) -> admission.AdmittedRequest:
        route = objects.IngressRoute(
            name="r",
            host="h",
            path_prefix="/a/",
            execution="streaming",
            backends=self.backends,
            timeout_ms=int(_TIMEOUT_S * 1000),
            resumable=True,
        )
        services = [
            objects.IngressService(name="s"),
            objects.IngressService(name="u"),
        ]
        view = config_view.View().with_changes(
            version=1, upserts=[*services, route], deletes=()
        )
        admitted = admission.AdmittedRequest(
            route=route,
            service=services[-1] if len(self.backends) > 1 else services[0],
            team=None,
            key_hash="",
            priority=0,
            tokens=0,
            freshness=config_freshness.Freshness(1, 1, 0.0),
        )
        parsed = dialect.ParsedRequest(
            request_id="r2",
            method="POST",
            host="h",
            raw_path="/a/x",
            path="/a/x",
            key=None,
            model="",
            adapter="",
            tokens=None,
            prompt=(),
            time_left_ms=None,
            last_event_id="3",
            headers=multidict.CIMultiDict(),
            first_request_id="r1",
        )
        return await resumption.Resumptions(
            origins=self.origins, targets=self.targets, ask_members=self.ask
        ).bind(parsed, admitted, view)


def _bind(world: _World) -> tuple[str, str | None] | refusal.Reason:
    """Returns the service and version at which a stream goes on."""
    try:
        bound = asyncio.run(world.bind())
    except refusal.Refusal as error:
        assert error.status == 503
        return error.reason
    return bound.service.name, bound.software_version


def test_recorded_stream_goes_on_at_its_version() -> None:
    """Guards against another version although a member has the record."""
    world = _World(_reply(), _reply(recorded="v2"), _reply())
    assert _bind(world) == ("s", "v2")


def test_stream_of_this_gateway_needs_no_member() -> None:
    """Guards against a refusal while the control members are unreachable."""
    world = _World()

    async def run() -> admission.AdmittedRequest:
        now = asyncio.get_running_loop().time()
        origin = stream_origins.StreamOrigin("s", "v2")
        world.origins.record("r1", origin, timeout_s=_TIMEOUT_S, now=now)
        return await world.bind()

    assert asyncio.run(run()).software_version == "v2"
    assert not world.asked


@pytest.mark.parametrize(
    ("replies", "goes_on"),
    [
        ([_reply(), _reply(), _reply()], True),
        ([_reply(), _reply()], True),
        # A single member may be partitioned from the others.
        ([_reply()], False),
        ([], False),
        # Another version served a while ago, or a member has restarted.
        ([_reply(), _reply(), _reply(sole_for_s=_TIMEOUT_S)], False),
        ([_reply(), _reply(), _reply(sole_version="v2")], False),
    ],
)
def test_unrecorded_stream_goes_on_only_if_one_version_can_have_begun_it(
    replies: list[fleet.FoundStreamOrigin], goes_on: bool
) -> None:
    """Guards against a guess, and against refusals where nothing is unsure."""
    expected = ("s", "v1") if goes_on else refusal.Reason.ORIGIN_UNKNOWN
    assert _bind(_World(*replies)) == expected


def test_gateway_that_knows_another_version_does_not_guess() -> None:
    """Guards against members that have not learned of a new version yet."""

    async def run(world: _World) -> None:
        now = asyncio.get_running_loop().time()
        world.register("t1", "v1", now)
        world.register("t2", "v2", now)
        await world.bind()

    with pytest.raises(refusal.Refusal) as caught:
        asyncio.run(run(_World(_reply(), _reply(), _reply())))
    assert caught.value.reason is refusal.Reason.ORIGIN_UNKNOWN


def test_stream_goes_on_at_the_service_that_began_it() -> None:
    """Guards against a split route that draws another service."""
    world = _World(_reply(recorded="v1"))
    world.backends.append(objects.IngressBackend(service="u"))
    assert _bind(world) == ("s", "v1")


def test_unrecorded_stream_of_a_split_route_is_refused() -> None:
    """Guards against a guess between two services."""
    world = _World(_reply(), _reply(), _reply())
    world.backends.append(objects.IngressBackend(service="u"))
    assert _bind(world) is refusal.Reason.ORIGIN_UNKNOWN


@pytest.mark.parametrize("weights", [(0, 1), (None, 1)])
def test_stream_of_a_moved_route_is_refused(
    weights: tuple[int | None, int],
) -> None:
    """Guards against a run at a service to which the route no longer leads."""
    world = _World(_reply(recorded="v1"))
    world.backends = [
        objects.IngressBackend(service=name, weight=weight)
        for name, weight in zip(("s", "u"), weights, strict=True)
        if weight is not None
    ]
    assert _bind(world) is refusal.Reason.VERSION_GONE


def test_record_is_sent_unless_only_one_version_can_have_begun_a_stream() -> (
    None
):
    """Guards against streams that no other gateway can resume."""
    world = _World()
    origin = stream_origins.StreamOrigin("s", "v1")

    def record(stream: str, now: float) -> None:
        world.origins.record(stream, origin, timeout_s=_TIMEOUT_S, now=now)

    world.register("t1", "v1", 0.0)
    record("before", 0.0)
    assert not world.sent
    world.register("t2", "v2", 1.0)
    world.origins.send_unsent("s", 1.0)
    record("beside", 1.0)
    streams = [[item.stream for item in sent.origins] for sent in world.sent]
    assert streams == [["before"], ["beside"]]
    # A member that has restarted gets both again.
    (again,) = world.origins.sent(2.0)
    assert [item.stream for item in again.origins] == ["before", "beside"]
    assert again.origins[0].keep_ms == 1000 * (2 * _TIMEOUT_S - 2)


def test_gateway_that_has_just_started_sends_its_records() -> None:
    """Guards against a gateway that cannot know which versions served."""
    world = _World()
    world.targets = target_table.TargetTable(known_since=0.0)
    world.origins = stream_origins.StreamOrigins(
        targets=world.targets, send=world.sent.append
    )
    world.register("t1", "v1", 0.0)
    origin = stream_origins.StreamOrigin("s", "v1")
    world.origins.record("r1", origin, timeout_s=_TIMEOUT_S, now=1.0)
    assert len(world.sent) == 1


def test_expired_records_are_dropped() -> None:
    """Guards against records that grow with all streams ever relayed."""
    world = _World()
    origin = stream_origins.StreamOrigin("s", "v1")
    for number in range(100):
        world.origins.record(
            f"r{number}", origin, timeout_s=1.0, now=float(number)
        )
    assert world.origins.find("r0", 99.0) is None
    assert world.origins.find("r99", 99.0) == origin
    (sent,) = world.origins.sent(99.0)
    assert len(sent.origins) <= 2


def test_records_are_sent_in_bounded_messages() -> None:
    """Guards against a message that is too large for the connection."""
    world = _World()
    world.register("t1", "v1", 0.0)
    origin = stream_origins.StreamOrigin("s", "v1")
    for number in range(3_000):
        world.origins.record(
            f"r{number}", origin, timeout_s=_TIMEOUT_S, now=0.0
        )
    world.register("t2", "v2", 1.0)
    world.origins.send_unsent("s", 1.0)
    assert sum(len(sent.origins) for sent in world.sent) == 3_000
    assert max(len(sent.origins) for sent in world.sent) <= 1_000


def test_restarted_target_begins_no_stream() -> None:
    """Guards against a target that restarted as another version.

    The connection may lead to the later incarnation under the same id.
    """
    world = _World()
    world.register("t1", "v1", 0.0)
    target = world.targets.by_name["t1"]
    assert not world.targets.runs_other_version_now(target)
    restarted = dataclasses.replace(_registration("t1", "v2"), incarnation=2)
    world.targets.register(restarted, 1.0)
    assert world.targets.runs_other_version_now(target)
