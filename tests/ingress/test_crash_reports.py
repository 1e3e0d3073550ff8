"""Tests of crash reports and quarantined prompts at a gateway."""

import asyncio

from monsoonhinge.ingress import crash_reports
from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import prompt_quarantine
from monsoonhinge.ingress import target_table
from monsoonhinge.ingress import wait_queue
from monsoonhinge.protocol import fleet


def _target(name: str) -> target_table.Target:
    return target_table.Target(
        fleet.Registration(
            target=name, incarnation=7, address="127.0.0.1:1", state="ready"
        )
    )


def _reports(
    *, refuses: bool, event_age_s: float | None
) -> list[fleet.TargetCrash]:
    """Returns the reports after one connection broke."""
    sent: list[fleet.TargetCrash | fleet.PartsServed] = []

    async def refuses_connections(address: str) -> bool:
        return refuses

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        reporter = crash_reports.CrashReporter(
            refuses_connections=refuses_connections, send=sent.append
        )
        reporter.record_served(["a"], now - 5.0)
        reporter.record_break(
            _target("i-1"),
            ["a", "x"],
            event_relayed_at=None if event_age_s is None else now - event_age_s,
        )
        await asyncio.sleep(0.1)

    asyncio.run(run())
    return [item for item in sent if isinstance(item, fleet.TargetCrash)]


def test_crash_is_reported_with_the_parts_and_their_last_answers() -> None:
    """Guards against a crash that is put down to the target alone."""
    (report,) = _reports(refuses=True, event_age_s=None)
    assert (report.target, report.incarnation) == ("i-1", 7)
    assert report.prompts == [fleet.SuspectPrompt(parts=["a", "x"])]
    ((served),) = report.served
    assert served.part == "a"
    assert served.age_ms >= 5000


def test_answer_to_a_suspected_part_is_reported() -> None:
    """Guards against a sound part that stays suspected while it is served."""

    async def run() -> list[object]:
        sent: list[object] = []

        async def refuses_connections(address: str) -> bool:
            return True

        now = asyncio.get_running_loop().time()
        reporter = crash_reports.CrashReporter(
            refuses_connections=refuses_connections, send=sent.append
        )
        reporter.record_served(["a"], now - 2.0)
        reporter.set_suspects("core-1", ["a", "x"])
        reporter.record_served(["b"], now + 1.0)
        reporter.record_served(["a", "x"], now + 2.0)
        reporter.set_suspects("core-1", [])
        reporter.record_served(["a"], now + 4.0)
        return sent

    before, after = asyncio.run(run())
    assert isinstance(before, fleet.PartsServed)
    assert [item.part for item in before.served] == ["a"]
    assert isinstance(after, fleet.PartsServed)
    assert [item.part for item in after.served] == ["a", "x"]


def test_broken_connection_of_a_running_target_is_not_reported() -> None:
    """Guards against prompts quarantined for faults of the network."""
    assert not _reports(refuses=False, event_age_s=None)


def test_prompt_that_was_being_answered_is_not_reported() -> None:
    """Guards against suspicion of all that ran at a crashed target."""
    assert not _reports(refuses=True, event_age_s=1.0)
    assert _reports(refuses=True, event_age_s=0.1)


def test_requests_that_wait_with_a_quarantined_prompt_are_refused_at_once() -> (
    None
):
    """Guards against requests that wait, but can no longer be served."""

    async def run() -> list[BaseException | None]:
        loop = asyncio.get_running_loop()
        queue = wait_queue.WaitQueue(
            balancer=load_balancer.LoadBalancer(
                targets=target_table.TargetTable(), availability_zone="a"
            )
        )
        quarantine = prompt_quarantine.PromptQuarantine()
        futures = []
        for part in ("x", "b"):
            queued = wait_queue.QueuedRequest(
                requirements=load_balancer.Requirements("s", model="m"),
                priority=1,
                latency_deadline=1.0,
                arrived_at=0.0,
                queue_deadline=4.0,
                avoided_targets=set(),
                shared_parts=["a", part],
                future=loop.create_future(),
            )
            queue.add(queued)
            futures.append(queued.future)
        assert quarantine.apply(
            fleet.PromptQuarantines(
                quarantines=[fleet.PromptQuarantine(parts=["x"], for_ms=60_000)]
            ),
            now=0.0,
        )
        queue.fail_each(lambda item: quarantine.refusal(item.shared_parts, 0.0))
        return [
            future.exception() if future.done() else None for future in futures
        ]

    refused, waiting = asyncio.run(run())
    assert refused is not None
    assert waiting is None


def test_quarantine_is_lifted_at_the_latest_time_of_any_member() -> None:
    """Guards against a member without evidence that lifts a quarantine."""
    quarantine = prompt_quarantine.PromptQuarantine()
    item = fleet.PromptQuarantine(parts=["x"], for_ms=60_000)
    quarantine.apply(fleet.PromptQuarantines(quarantines=[item]), 0.0)
    quarantine.apply(fleet.PromptQuarantines(), 1.0)
    assert quarantine.remaining_s(["a", "x"], 59.0) == 1.0
    assert quarantine.remaining_s(["a"], 59.0) == 0.0
    assert quarantine.remaining_s(["x"], 60.0) == 0.0
