"""Tests of the decisions of the ingress."""

import asyncio
import random

import hypothesis
from hypothesis import strategies as st
import multidict
import pytest

from monsoonhinge.config import ingress as objects
from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import balance
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import outlook
from monsoonhinge.ingress import patience
from monsoonhinge.ingress import quota
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import retries
from monsoonhinge.ingress import stream
from monsoonhinge.ingress import targets
from monsoonhinge.ingress import waiting
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_SECRET = b"a key secret for tests"


def _route(name: str, prefix: str, **fields: object) -> objects.IngressRoute:
    defaults: dict[str, object] = {
        "host": "h",
        "execution": "idempotent",
        "backends": [objects.IngressBackend(service="s")],
        "timeout_ms": 1000,
    }
    return objects.IngressRoute.model_validate(
        defaults | fields | {"name": name, "path_prefix": prefix}
    )


def _view(*items: schema.AnyObject) -> config_view.View:
    key_hash = config_view.key_hash(secret=_SECRET, key="k")
    base: list[schema.AnyObject] = [
        objects.IngressService(name="s"),
        schema.Team(name="t", tokens_per_s=100.0, burst_tokens=100),
        schema.Key(name="key-1", team="t", hash=key_hash),
    ]
    return config_view.View().with_changes(
        version=1, upserts=[*base, *items], deletes=()
    )


def _call(path: str = "/a/x", key: str | None = "k") -> dialect.Call:
    return dialect.Call(
        request_id="r",
        method="GET",
        host="h",
        target_path=path,
        path=path,
        key=key,
        model="",
        adapter="",
        tokens=(10, 5),
        prompt=(),
        time_left_ms=None,
        last_event_id="",
        headers=multidict.CIMultiDict(),
    )


def _admission() -> admission.Admission:
    return admission.Admission(
        key_secret=_SECRET, max_staleness_s=4.0, rng=random.Random(1)
    )


def _reason(call: dialect.Call, view: config_view.View, age: float) -> str:
    with pytest.raises(refusal.Refusal) as caught:
        _admission().admit(call, view=view, staleness=age)
    return caught.value.reason.value


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/a/x", "a"),
        ("/a/b/x", "ab"),
        ("/a/b", "a"),
        ("/", None),
        ("/ab/", None),
    ],
)
def test_longest_prefix_wins(path: str, name: str | None) -> None:
    """Guards against a request that a more general route takes."""
    view = _view(_route("a", "/a/"), _route("ab", "/a/b/"))
    found = view.ingress_route(host="h", path=path)
    assert (found.name if found else None) == name


def test_admission_states_why_it_refuses() -> None:
    """Guards against a 404 or 401 that a later configuration would not give."""
    view = _view(_route("a", "/a/"))
    assert _reason(_call(), config_view.View(), 0.0) == "no_configuration"
    assert _reason(_call("/z/"), view, 0.0) == "unknown_route"
    assert _reason(_call(key="other"), view, 0.0) == "invalid_key"
    assert _reason(_call(key=None), view, 0.0) == "invalid_key"
    assert _reason(_call(), view, 5.0) == "stale_configuration"


def test_key_withdrawn_while_a_request_waits_stops_it() -> None:
    """Guards against a run under a key that was taken away."""
    view = _view(_route("a", "/a/"))
    gate = _admission()
    admitted = gate.admit(_call(), view=view, staleness=0.0)
    assert gate.still_valid(admitted, view=view, staleness=1.0)
    later = view.with_changes(version=2, upserts=(), deletes=["key/key-1"])
    assert not gate.still_valid(admitted, view=later, staleness=0.0)
    assert not gate.still_valid(admitted, view=view, staleness=9.0)


def test_public_route_needs_no_key_and_charges_nobody() -> None:
    """Guards against a key check on a public route."""
    view = _view(_route("a", "/a/", public=True))
    admitted = _admission().admit(_call(key=None), view=view, staleness=99.0)
    assert admitted.team is None
    assert admitted.tokens == 0


def test_weight_zero_gets_no_request() -> None:
    """Guards against a service that was taken out of a split."""
    split = [
        objects.IngressBackend(service="s", weight=1),
        objects.IngressBackend(service="u", weight=0),
    ]
    view = _view(
        _route("a", "/a/", backends=split), objects.IngressService(name="u")
    )
    gate = _admission()
    names = {
        gate.admit(_call(), view=view, staleness=0.0).service.name
        for _ in range(50)
    }
    assert names == {"s"}


def test_refusal_after_a_run_promises_nothing() -> None:
    """Guards against a 503 for a request that may have run."""
    refused = refusal.Refusal(refusal.Reason.TARGETS_FULL, retry_after_s=0.301)
    assert refused.status == 503
    assert refused.retry_after() == "0.31"
    assert refused.after_run().status == 502


def _registered(name: str, **fields: object) -> fleet.Registration:
    defaults: dict[str, object] = {
        "target": name,
        "incarnation": 1,
        "sequence": 1,
        "service": "s",
        "address": f"{name}:80",
        "availability_zone": "a",
        "slots": 4,
        "state": "ready",
    }
    return fleet.Registration(**(defaults | fields))  # type: ignore[arg-type]


def _balancer(*registrations: fleet.Registration) -> balance.Balancer:
    table = targets.Targets()
    for registration in registrations:
        table.register(registration, 0.0)
    return balance.Balancer(targets=table, availability_zone="a")


def _chosen(balancer: balance.Balancer, need: balance.Need) -> str:
    target = balancer.choose(need, avoid=(), now=0.0)
    return target.name if target else ""


def test_near_idle_target_is_chosen_first() -> None:
    """Guards against bytes between zones that nothing gains."""
    balancer = _balancer(
        _registered("far", availability_zone="b"), _registered("near")
    )
    need = balance.Need("s")
    assert _chosen(balancer, need) == "near"
    balancer.targets.by_name["near"].running["", ""] = 3
    assert _chosen(balancer, need) == "far"


def test_draining_and_departed_targets_get_nothing() -> None:
    """Guards against requests to a target that leaves."""
    balancer = _balancer(
        _registered("a", state="draining"), _registered("b", state="gone")
    )
    assert _chosen(balancer, balance.Need("s")) == ""


def test_silent_target_is_the_last_choice() -> None:
    """Guards against refusals while only the control path to it is cut."""
    silent = _registered("a", state="silent")
    assert _chosen(_balancer(silent), balance.Need("s")) == "a"
    assert (
        _chosen(_balancer(silent, _registered("b")), balance.Need("s")) == "b"
    )


def test_placement_of_an_older_fencing_number_is_ignored() -> None:
    """Guards against a deposed member that still tells where models are."""
    table = targets.Targets()
    table.register(_registered("a"), 0.0)

    def place(fencing: int, model: str) -> None:
        placed = fleet.PlacedModel(name=model, state="loaded")
        table.place(
            fleet.Placements(
                fencing=fencing,
                placements=[
                    fleet.Placement(target="a", incarnation=1, models=[placed])
                ],
            ),
            0.0,
        )

    place(5, "new")
    place(4, "old")
    assert set(table.by_name["a"].models) == {"new"}


def test_target_that_denies_a_model_is_asked_again_later() -> None:
    """Guards against a loop of requests for a model that still loads."""
    table = targets.Targets()
    table.register(_registered("a", models=[fleet.HeldModel(name="m")]), 0.0)
    target = table.by_name["a"]
    assert target.holds("m", "", 0.0)
    target.deny("m", "", 0.0)
    assert not target.holds("m", "", 0.01)
    assert target.holds("m", "", 1.0)
    assert not target.holds("m", "a1", 1.0)


def test_unreachable_target_holds_nothing_for_a_while() -> None:
    """Guards against one request that is sent to a dead target nine times."""
    table = targets.Targets()
    table.register(_registered("a", models=[fleet.HeldModel(name="m")]), 0.0)
    target = table.by_name["a"]
    target.unreachable_until = 1.0
    assert not target.holds("m", "", 0.5)
    assert table.unreachable(0.5) == ["a"]
    assert target.holds("m", "", 1.5)


def test_waiting_request_gets_a_target_once_the_model_is_there() -> None:
    """Guards against requests that wait beside a loaded model."""

    async def run() -> str:
        balancer = _balancer(_registered("a"))
        room = waiting.WaitingRoom(balancer=balancer)
        need = balance.Need("s", model="m")
        waiter = waiting.Waiter(
            need=need,
            priority=1,
            timely_until=2.0,
            arrived_at=0.0,
            gives_up_at=4.0,
            avoid=set(),
            future=asyncio.get_running_loop().create_future(),
        )
        room.arrive(need)
        room.add(waiter)
        room.wake(0.0)
        (item,) = room.needs(1.0)
        assert (item.waiting, item.arrived, item.timely_for_ms) == (1, 1, 1000)
        assert item.patient_for_ms == 3000
        balancer.targets.by_name["a"].models["m"] = set()
        room.wake(0.1)
        assert room.count() == 0
        return (await waiter.future).name

    assert asyncio.run(run()) == "a"


_ENGINE = objects.IngressEngine(
    slots=8,
    kv_tokens=1000,
    weights_bytes=1000,
    adapter_capacity=8,
    loads_per_s=4.0,
    models=[
        objects.EngineModel(
            name="m",
            weights_bytes=100,
            load_s=6.0,
            disk_load_s=1.0,
            warm_load_s=0.5,
        )
    ],
)


@pytest.mark.parametrize(
    ("on_disk", "in_memory", "expected_s"),
    [([], [], 6.0), (["m"], [], 1.0), (["m"], ["m"], 0.5)],
)
def test_retry_after_follows_the_nearest_copy(
    on_disk: list[str], in_memory: list[str], expected_s: float
) -> None:
    """Guards against callers told to come back long before a load can end."""
    known = targets.Targets()
    known.register(
        fleet.Registration(
            target="a",
            incarnation=1,
            service="s",
            state="ready",
            on_disk=on_disk,
            in_memory=in_memory,
        ),
        0.0,
    )
    need = balance.Need("s", model="m")

    def earliest_s() -> float:
        return outlook.earliest_s(need, engine=_ENGINE, targets=known, now=0.0)

    assert earliest_s() == expected_s
    known.by_name["a"].ready_at["m"] = 0.3
    assert earliest_s() == 0.3


def _announced(
    known: targets.Targets, state: str, sequence: int, now: float
) -> bool:
    registration = fleet.Registration(
        target="a",
        incarnation=1,
        sequence=sequence,
        service="s",
        state=state,
    )
    return known.register(registration, now)


def test_target_that_left_does_not_return_through_a_member_behind() -> None:
    """Guards against requests at a target that said that it leaves.

    A member that the others could not reach sent it as ready again, with the
    sequence number under which it had left.
    """
    known = targets.Targets()
    assert _announced(known, "ready", 14, 0.0)
    assert _announced(known, "gone", 14, 1.0)
    assert not _announced(known, "gone", 14, 1.1)
    assert not _announced(known, "ready", 14, 1.2)
    # A late announcement, or one that a member behind still hears.
    assert not _announced(known, "ready", 15, 2.0)
    assert not _announced(known, "ready", 14, 20.0)
    assert not known.by_name
    # A target that goes on announcing itself is back.
    assert _announced(known, "ready", 19, 7.0)
    assert "a" in known.by_name


def test_departure_counts_beside_later_announcements() -> None:
    """Guards against a departure that its low number makes look outdated.

    The member that took the departure had not heard the announcements that
    went to the other half of a core cut in two.
    """
    known = targets.Targets()
    assert _announced(known, "ready", 17, 0.0)
    assert _announced(known, "gone", 14, 1.0)
    assert not known.by_name
    assert _announced(known, "ready", 24, 8.0)
    # A member behind repeats the departure that was undone.
    assert not _announced(known, "gone", 14, 9.0)
    assert "a" in known.by_name
    assert _announced(known, "gone", 24, 10.0)


def test_retry_budget_holds_over_all_gateways() -> None:
    """Guards against a storm of repeats when every gateway retries."""
    gateways = [
        retries.RetryBudget(ratio=0.2, extra=58.0, window_s=10.0)
        for _ in range(9)
    ]
    repeats = 0
    for budget in gateways:
        budget.gateways = 9
        for number in range(30):
            budget.request("s", number / 10)
            repeats += budget.take("s", number / 10)
    assert 0 < repeats <= 0.2 * 9 * 30 + 58


def test_patience_ends_before_the_caller_leaves() -> None:
    """Guards against a request held until its caller has gone."""
    route = _route(
        "a",
        "/a/",
        execution="streaming",
        timeout_ms=15_000,
        target_latency_ms=600,
        max_gap_ms=300,
    )
    limits = patience.limits(route, time_left_ms=15_000, now=0.0)
    assert limits.give_up_at < 2.4
    assert limits.deadline == 15.0
    short = patience.limits(route, time_left_ms=1_000, now=0.0)
    assert short.deadline == 1.0
    assert short.give_up_at < 1.0


@hypothesis.given(st.lists(st.integers(1, 9), max_size=30))
def test_events_survive_any_split(sizes: list[int]) -> None:
    """Guards against events cut or joined by the network."""
    whole = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(5))
    splitter = stream.Splitter()
    found: list[stream.Event] = []
    rest = whole
    for size in [*sizes, len(whole)]:
        found += splitter.feed(rest[:size])
        rest = rest[size:]
    assert b"".join(event.data for event in found) == whole
    assert [event.event_id for event in found] == ["0", "1", "2", "3", "4"]
    assert splitter.feed(b"id: 5\nda") == []
    assert splitter.rest == b"id: 5\nda"


class _Holder:
    """Grants what is asked, or does not answer."""

    def __init__(self, *, tokens: int = 0, absent: bool = False) -> None:
        self.tokens = tokens
        self.absent = absent
        self.grants = 0

    async def send(self, request: messages.GrantRequest) -> messages.Grant:
        if self.absent:
            raise errors.ConnectionLost("away")
        self.grants += 1
        tokens = min(self.tokens, request.wanted + request.waiting)
        self.tokens -= tokens
        return messages.Grant(
            team=request.team,
            grant_id=self.grants,
            tokens=tokens,
            valid_ms=2000,
            retry_after_ms=0 if tokens else 50,
        )


_TEAM = schema.Team(name="t", tokens_per_s=900.0, burst_tokens=900)


def test_no_token_is_held_back_from_other_gateways() -> None:
    """Guards against tokens that lie unused where nobody asks."""

    async def run() -> int:
        holder = _Holder(tokens=1_000)
        tokens = quota.Quota(gateway="g", send=holder.send)
        assert await tokens.charge(_TEAM, 300, time_left_s=5.0)
        await asyncio.sleep(0.01)
        await tokens.stop()
        return holder.tokens

    assert asyncio.run(run()) == 700


def test_request_beyond_the_rate_is_refused_soon() -> None:
    """Guards against a request that waits for tokens until its deadline."""

    async def run() -> tuple[object, float]:
        loop = asyncio.get_running_loop()
        tokens = quota.Quota(gateway="g", send=_Holder().send)
        started = loop.time()
        charge = await tokens.charge(_TEAM, 300, time_left_s=8.0)
        await tokens.stop()
        return charge, loop.time() - started

    charge, waited_s = asyncio.run(run())
    assert charge is None
    assert waited_s < 1.0


def test_gateways_without_a_holder_stay_within_the_rate() -> None:
    """Guards against each gateway that spends the whole rate on its own."""
    shares = [quota.Share() for _ in range(9)]
    rate = 0.5 * 900.0 / 9
    spent = 0
    for step in range(40):
        for share in shares:
            if share.take(150, rate=rate, now=step / 10):
                spent += 150
    assert 0 < spent <= 900 * 4


def test_small_share_never_runs_a_large_request_at_once() -> None:
    """Guards against one overdraft at each gateway when the holder is lost."""
    share = quota.Share()
    assert not share.take(4_000, rate=100.0, now=2.0)
    assert share.take(150, rate=100.0, now=2.0)
