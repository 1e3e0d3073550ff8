"""Tests of the decision logic of the ingress, without connections."""

import asyncio
import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import multidict
import pytest

from monsoonhinge.config import ingress as objects
from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.control import config_freshness
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import quota
from monsoonhinge.ingress import readiness
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import retry_budget
from monsoonhinge.ingress import target_table
from monsoonhinge.ingress import timeouts
from monsoonhinge.ingress import wait_queue
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.targets import event_stream

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


def _parsed_request(
    path: str = "/a/x", key: str | None = "k"
) -> dialect.ParsedRequest:
    return dialect.ParsedRequest(
        request_id="r",
        method="GET",
        host="h",
        raw_path=path,
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
        key_secret=_SECRET,
        max_staleness_s=4.0,
        config_deadline_s=2.0,
        rng=random.Random(1),
    )


def _freshness(
    staleness_s: float, *, version: int = 1, newest_version: int = 1
) -> config_freshness.Freshness:
    return config_freshness.Freshness(
        version=version,
        newest_version=newest_version,
        staleness_s=staleness_s,
    )


def _reason(
    parsed: dialect.ParsedRequest, view: config_view.View, staleness_s: float
) -> str:
    with pytest.raises(refusal.Refusal) as caught:
        _admission().admit(parsed, view=view, freshness=_freshness(staleness_s))
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
    """Guards against a more general route that matches first."""
    view = _view(_route("a", "/a/"), _route("ab", "/a/b/"))
    found = view.ingress_route(host="h", path=path)
    assert (found.name if found else None) == name


def test_admission_refuses_with_the_specific_reason() -> None:
    """Guards against a 404 or 401 while the configuration is not current."""
    view = _view(_route("a", "/a/"))
    assert (
        _reason(_parsed_request(), config_view.View(), 0.0)
        == "no_configuration"
    )
    assert _reason(_parsed_request("/z/"), view, 0.0) == "unknown_route"
    assert _reason(_parsed_request(key="other"), view, 0.0) == "invalid_key"
    assert _reason(_parsed_request(key=None), view, 0.0) == "invalid_key"
    assert _reason(_parsed_request(), view, 5.0) == "stale_configuration"


@pytest.mark.parametrize("key", ["k", "other", None])
@pytest.mark.parametrize("path", ["/a/x", "/z/x"])
@pytest.mark.parametrize("is_public", [False, True])
def test_old_configuration_denies_nothing_for_good(
    path: str, key: str | None, is_public: bool
) -> None:
    """Guards against a 404 or 401 for a route or key that was just added."""
    view = _view(_route("a", "/a/", public=is_public))
    parsed = _parsed_request(path, key)
    try:
        _admission().admit(parsed, view=view, freshness=_freshness(2.5))
    except refusal.Refusal as error:
        assert error.reason is refusal.Reason.STALE_CONFIGURATION
        assert error.status == 503
        assert error.retry_after_s


@pytest.mark.parametrize(
    ("staleness_s", "newest_version", "admits"),
    [(1.0, 1, True), (1.0, 2, True), (2.5, 1, True), (2.5, 2, False)],
)
def test_replaced_configuration_admits_nothing_after_its_time(
    staleness_s: float, newest_version: int, admits: bool
) -> None:
    """Guards against a request that runs by a route that was changed."""
    view = _view(_route("a", "/a/", public=True))
    freshness = _freshness(staleness_s, newest_version=newest_version)
    try:
        _admission().admit(_parsed_request(), view=view, freshness=freshness)
    except refusal.Refusal as error:
        assert not admits
        assert error.reason is refusal.Reason.STALE_CONFIGURATION
    else:
        assert admits


def test_waiting_request_is_not_run_after_its_key_is_deleted() -> None:
    """Guards against a request that runs with a revoked key."""
    view = _view(_route("a", "/a/"))
    admission_control = _admission()
    admitted = admission_control.admit(
        _parsed_request(), view=view, freshness=_freshness(0.0)
    )
    assert admission_control.still_authorized(
        admitted, view=view, staleness_s=1.0
    )
    later = view.with_changes(version=2, upserts=(), deletes=["key/key-1"])
    assert not admission_control.still_authorized(
        admitted, view=later, staleness_s=0.0
    )
    assert not admission_control.still_authorized(
        admitted, view=view, staleness_s=9.0
    )


def test_public_route_needs_no_key_and_charges_no_team() -> None:
    """Guards against a key check on a public route."""
    view = _view(_route("a", "/a/", public=True))
    admitted = _admission().admit(
        _parsed_request(key=None), view=view, freshness=_freshness(99.0)
    )
    assert admitted.team is None
    assert admitted.tokens == 0


def test_weight_zero_gets_no_request() -> None:
    """Guards against requests to a backend that was set to weight zero."""
    split = [
        objects.IngressBackend(service="s", weight=1),
        objects.IngressBackend(service="u", weight=0),
    ]
    view = _view(
        _route("a", "/a/", backends=split), objects.IngressService(name="u")
    )
    admission_control = _admission()
    names = {
        admission_control.admit(
            _parsed_request(), view=view, freshness=_freshness(0.0)
        ).service.name
        for _ in range(50)
    }
    assert names == {"s"}


def test_refusal_after_a_run_has_status_502() -> None:
    """Guards against a 503 for a request that may have run."""
    refused = refusal.Refusal(refusal.Reason.TARGETS_FULL, retry_after_s=0.301)
    assert refused.status == 503
    assert refused.retry_after_header() == "0.31"
    assert refused.after_run().status == 502


def _registration(name: str, **fields: object) -> fleet.Registration:
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


def _balancer(*registrations: fleet.Registration) -> load_balancer.LoadBalancer:
    table = target_table.TargetTable()
    for registration in registrations:
        table.register(registration, 0.0)
    return load_balancer.LoadBalancer(targets=table, availability_zone="a")


def _chosen(
    balancer: load_balancer.LoadBalancer,
    requirements: load_balancer.Requirements,
) -> str:
    target = balancer.choose(requirements, avoided_targets=(), now=0.0)
    return target.name if target else ""


def test_idle_target_in_the_same_zone_is_preferred() -> None:
    """Guards against traffic between zones without a benefit."""
    balancer = _balancer(
        _registration("far", availability_zone="b"), _registration("near")
    )
    requirements = load_balancer.Requirements("s")
    assert _chosen(balancer, requirements) == "near"
    balancer.targets.by_name["near"].running["", ""] = 3
    assert _chosen(balancer, requirements) == "far"


def test_draining_and_deregistered_targets_get_no_requests() -> None:
    """Guards against requests to a target that is shutting down."""
    balancer = _balancer(
        _registration("a", state="draining"), _registration("b", state="gone")
    )
    assert _chosen(balancer, load_balancer.Requirements("s")) == ""


def test_silent_target_is_the_last_choice() -> None:
    """Guards against refusals while only its announcements are lost."""
    silent = _registration("a", state="silent")
    assert _chosen(_balancer(silent), load_balancer.Requirements("s")) == "a"
    assert (
        _chosen(
            _balancer(silent, _registration("b")),
            load_balancer.Requirements("s"),
        )
        == "b"
    )


def test_placements_with_an_older_fencing_token_are_ignored() -> None:
    """Guards against placements of a member that lost the fleet lease."""
    table = target_table.TargetTable()
    table.register(_registration("a"), 0.0)

    def place(fencing: int, model: str) -> None:
        placed = fleet.PlacedModel(name=model, state="loaded")
        table.apply_placements(
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


def test_target_without_a_model_is_retried_after_a_delay() -> None:
    """Guards against a request loop while the target loads the model."""
    table = target_table.TargetTable()
    table.register(_registration("a", models=[fleet.HeldModel(name="m")]), 0.0)
    target = table.by_name["a"]
    assert target.serves("m", "", 0.0)
    target.mark_model_missing("m", "", 0.0)
    assert not target.serves("m", "", 0.01)
    assert target.serves("m", "", 1.0)
    assert not target.serves("m", "a1", 1.0)


def test_unreachable_target_serves_no_model_for_a_while() -> None:
    """Guards against one request that is sent to a dead target nine times."""
    table = target_table.TargetTable()
    table.register(_registration("a", models=[fleet.HeldModel(name="m")]), 0.0)
    target = table.by_name["a"]
    target.unreachable_until = 1.0
    assert not target.serves("m", "", 0.5)
    assert table.unreachable_targets(0.5) == ["a"]
    assert target.serves("m", "", 1.5)


def test_silent_target_is_not_tried_again_every_second() -> None:
    """Guards against requests that are sent to a target that is gone.

    They used up the attempts of the requests and the retry budget.
    """
    table = target_table.TargetTable()
    models = [fleet.HeldModel(name="m")]
    table.register(_registration("a", models=models), 0.0)
    table.register(_registration("a", models=models, state="silent"), 1.0)
    target = table.by_name["a"]
    target.record_connect_failure(2.0)
    assert not target.serves("m", "", 5.0)
    assert target.serves("m", "", 20.0)
    target.record_connect_failure(20.0)
    table.register(_registration("a", models=models, sequence=2), 21.0)
    assert target.serves("m", "", 21.0)


def test_waiting_request_is_dispatched_once_the_model_is_loaded() -> None:
    """Guards against requests that wait although the model is loaded."""

    async def run() -> str:
        balancer = _balancer(_registration("a"))
        queue = wait_queue.WaitQueue(balancer=balancer)
        requirements = load_balancer.Requirements("s", model="m")
        queued = wait_queue.QueuedRequest(
            requirements=requirements,
            priority=1,
            latency_deadline=2.0,
            arrived_at=0.0,
            queue_deadline=4.0,
            avoided_targets=set(),
            shared_parts=[],
            future=asyncio.get_running_loop().create_future(),
        )
        queue.demand.count_arrival(requirements, _ENGINE, 1.0)
        queue.add(queued)
        queue.dispatch(0.0)
        (item,) = queue.model_needs(1.0)
        assert (item.waiting, item.arrived, item.timely_for_ms) == (1, 1, 1000)
        bound = dataclasses.replace(
            queued,
            requirements=dataclasses.replace(
                requirements, software_version="v1"
            ),
        )
        queue.add(bound)
        any_version, one_version = queue.model_needs(1.0)
        assert (any_version.waiting, one_version.waiting) == (1, 1)
        assert one_version.software_version == "v1"
        queue.remove(bound)
        assert item.patient_for_ms == 3000
        balancer.targets.by_name["a"].models["m"] = set()
        queue.dispatch(0.1)
        assert queue.count() == 0
        return (await queued.future).name

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


def test_demand_report_does_not_grow_with_the_names_that_callers_use() -> None:
    """Guards against a report that outgrows a message and is never sent again.

    Placement would know nothing of the demand at this gateway.
    """
    (model,) = _ENGINE.models
    engine = _ENGINE.model_copy(
        update={"models": [model.model_copy(update={"adapters": 2})]}
    )
    queue = wait_queue.WaitQueue(balancer=_balancer(_registration("a")))
    for number in range(1000):
        for name, adapter in (
            (f"nobody-{number}", ""),
            ("m", f"x{number}"),
            ("m", ""),
        ):
            requirements = load_balancer.Requirements(
                "s", model=name, adapter=adapter
            )
            queue.demand.count_arrival(requirements, engine, 1.0)
            queue.demand.count_arrival(requirements, None, 1.0)
    needs = queue.model_needs(1.0)
    assert {(item.model, item.adapter): item.arrived for item in needs} == {
        ("m", "x0"): 1,
        ("m", "x1"): 1,
        ("m", ""): 1000,
    }


@pytest.mark.parametrize(
    ("on_disk", "in_memory", "expected_s"),
    [([], [], 6.0), (["m"], [], 1.0), (["m"], ["m"], 0.5)],
)
def test_readiness_estimate_uses_the_fastest_cached_copy(
    on_disk: list[str], in_memory: list[str], expected_s: float
) -> None:
    """Guards against a Retry-After that is much shorter than the load."""
    known = target_table.TargetTable()
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
    requirements = load_balancer.Requirements("s", model="m")

    def earliest_s() -> float:
        return readiness.seconds_until_ready(
            requirements, engine=_ENGINE, targets=known, now=0.0
        )

    assert earliest_s() == expected_s
    known.by_name["a"].ready_at["m"] = 0.3
    assert earliest_s() == 0.3


def _register(
    known: target_table.TargetTable, state: str, sequence: int, now: float
) -> bool:
    registration = fleet.Registration(
        target="a",
        incarnation=1,
        sequence=sequence,
        service="s",
        state=state,
    )
    return known.register(registration, now)


def test_outdated_announcement_does_not_undo_a_deregistration() -> None:
    """Guards against requests to a target that has deregistered.

    A partitioned member published the target as ready again, with the same
    sequence number as the deregistration.
    """
    known = target_table.TargetTable()
    assert _register(known, "ready", 14, 0.0)
    assert _register(known, "gone", 14, 1.0)
    assert not _register(known, "gone", 14, 1.1)
    assert not _register(known, "ready", 14, 1.2)
    # A late announcement, or one that only a partitioned member received.
    assert not _register(known, "ready", 15, 2.0)
    assert not _register(known, "ready", 14, 20.0)
    assert not known.by_name
    # A target that continues to send announcements is registered again.
    assert _register(known, "ready", 19, 7.0)
    assert "a" in known.by_name


def test_deregistration_applies_despite_a_lower_sequence_number() -> None:
    """Guards against a deregistration that is dropped as outdated.

    During a network partition, the member that accepted it had not received
    the later announcements, which went to the other side.
    """
    known = target_table.TargetTable()
    assert _register(known, "ready", 17, 0.0)
    assert _register(known, "gone", 14, 1.0)
    assert not known.by_name
    assert _register(known, "ready", 24, 8.0)
    # An outdated member repeats the deregistration that was undone.
    assert not _register(known, "gone", 14, 9.0)
    assert "a" in known.by_name
    assert _register(known, "gone", 24, 10.0)


def test_retry_budget_holds_over_all_gateways() -> None:
    """Guards against a retry storm when every gateway retries."""
    gateways = [
        retry_budget.RetryBudget(ratio=0.2, extra=58.0, window_s=10.0)
        for _ in range(9)
    ]
    repeats = 0
    for budget in gateways:
        budget.gateway_count = 9
        for number in range(30):
            budget.count_request("s", number / 10)
            repeats += budget.take("s", number / 10)
    assert 0 < repeats <= 0.2 * 9 * 30 + 58


def test_queue_deadline_is_before_the_caller_disconnects() -> None:
    """Guards against a request that waits until its caller disconnects."""
    route = _route(
        "a",
        "/a/",
        execution="streaming",
        timeout_ms=15_000,
        target_latency_ms=600,
        max_gap_ms=300,
    )
    limits = timeouts.request_timeouts(route, time_left_ms=15_000, now=0.0)
    assert limits.queue_deadline < 2.4
    assert limits.deadline == 15.0
    short = timeouts.request_timeouts(route, time_left_ms=1_000, now=0.0)
    assert short.deadline == 1.0
    assert short.queue_deadline < 1.0


@hypothesis.given(st.lists(st.integers(1, 9), max_size=30))
def test_events_survive_any_split(sizes: list[int]) -> None:
    """Guards against events that are split or merged by the network."""
    whole = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(5))
    splitter = event_stream.EventSplitter()
    found: list[event_stream.Event] = []
    rest = whole
    for size in [*sizes, len(whole)]:
        found += splitter.feed(rest[:size])
        rest = rest[size:]
    assert b"".join(event.data for event in found) == whole
    assert [event.event_id for event in found] == ["0", "1", "2", "3", "4"]
    assert splitter.feed(b"id: 5\nda") == []
    assert splitter.remainder == b"id: 5\nda"


class _FakeBudgetHolder:
    """Grants the requested tokens while it has some, or does not reply."""

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


def test_gateway_requests_no_tokens_in_advance() -> None:
    """Guards against tokens that stay unused at one gateway."""

    async def run() -> int:
        holder = _FakeBudgetHolder(tokens=1_000)
        tokens = quota.Quota(gateway="g", send=holder.send)
        assert await tokens.charge(_TEAM, 300, time_left_s=5.0)
        await asyncio.sleep(0.01)
        await tokens.stop()
        return holder.tokens

    assert asyncio.run(run()) == 700


def test_request_above_the_rate_is_refused_early() -> None:
    """Guards against a request that waits for tokens until its deadline."""

    async def run() -> tuple[object, float]:
        loop = asyncio.get_running_loop()
        tokens = quota.Quota(gateway="g", send=_FakeBudgetHolder().send)
        started = loop.time()
        charge = await tokens.charge(_TEAM, 300, time_left_s=8.0)
        await tokens.stop()
        return charge, loop.time() - started

    charge, waited_s = asyncio.run(run())
    assert charge is None
    assert waited_s < 1.0


def test_fallback_buckets_together_stay_within_the_rate() -> None:
    """Guards against gateways that each spend the whole rate of a team."""
    buckets = [quota.FallbackBucket() for _ in range(9)]
    rate = 0.5 * 900.0 / 9
    spent = 0
    for step in range(40):
        for bucket in buckets:
            if bucket.take(150, rate=rate, now=step / 10):
                spent += 150
    assert 0 < spent <= 900 * 4


def test_small_fallback_bucket_refuses_a_large_request() -> None:
    """Guards against an overdraft at every gateway when the holder is lost."""
    bucket = quota.FallbackBucket()
    assert not bucket.take(4_000, rate=100.0, now=2.0)
    assert bucket.take(150, rate=100.0, now=2.0)
