"""Tests of the search for prompts that crash targets."""

from monsoonhinge.fleet import crash_evidence
from monsoonhinge.protocol import fleet


def _crash(
    number: int,
    *prompts: str,
    served: dict[str, float] | None = None,
) -> fleet.TargetCrash:
    """Returns a report; a prompt is written as its parts, one letter each."""
    return fleet.TargetCrash(
        target=f"i-{number}",
        incarnation=1,
        prompts=[fleet.SuspectPrompt(parts=list(prompt)) for prompt in prompts],
        served=[
            fleet.ServedPart(part=part, age_ms=int(age_s * 1000))
            for part, age_s in (served or {}).items()
        ],
    )


def _quarantined(
    evidence: crash_evidence.CrashEvidence, now: float
) -> list[str]:
    return ["".join(sorted(item.parts)) for item in evidence.active(now)]


def test_part_of_all_crashes_is_quarantined_at_the_third() -> None:
    """Guards against crashes that go on until every target has crashed."""
    evidence = crash_evidence.CrashEvidence()
    evidence.record_crash(_crash(1, "sax"), 0.0)
    evidence.record_crash(_crash(2, "sbx"), 1.0)
    assert not evidence.active(1.0)
    evidence.record_crash(_crash(3, "scx", served={"s": 0.5}), 2.0)
    assert _quarantined(evidence, 2.0) == ["x"]


def test_crash_that_many_gateways_report_counts_once() -> None:
    """Guards against one crash of a busy target that quarantines its load."""
    evidence = crash_evidence.CrashEvidence()
    for _ in range(5):
        evidence.record_crash(_crash(1, "sax"), 0.0)
    assert not evidence.active(0.0)


def test_served_part_is_not_quarantined_after_separate_crashes() -> None:
    """Guards against a busy part refused after unrelated crashes."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(9):
        evidence.record_crash(
            _crash(number, f"s{number}", served={"s": 0.5}), float(number)
        )
    assert not evidence.active(9.0)


def test_served_part_is_not_quarantined_when_many_targets_crash_at_once() -> (
    None
):
    """Guards against a busy part refused after the loss of a rack."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(10):
        evidence.record_crash(
            _crash(number, f"s{number}", served={"s": 1.0}), 0.1 * number
        )
    assert not evidence.active(1.0)


def test_served_part_that_begins_to_crash_targets_is_quarantined() -> None:
    """Guards against a part trusted forever because it was once answered."""
    evidence = crash_evidence.CrashEvidence()
    evidence.record_crash(_crash(1, "x", served={"x": 5.0}), 0.0)
    evidence.record_crash(_crash(2, "x", served={"x": 6.0}), 1.0)
    evidence.record_crash(_crash(3, "x", served={"x": 7.5}), 2.5)
    assert _quarantined(evidence, 2.5) == ["x"]


def test_busy_part_of_crashing_prompts_is_not_refused_alone() -> None:
    """Guards against sound requests refused for the first part they share.

    Few gateways have answered it between the crashes, and other prompts with
    it were about to be answered at each crash as well.
    """
    evidence = crash_evidence.CrashEvidence()
    evidence.record_crash(_crash(1, "sax", "sb", served={"s": 0.5}), 0.0)
    evidence.record_crash(_crash(2, "sax", "sc", served={"s": 0.7}), 0.2)
    evidence.record_crash(_crash(3, "sd", served={"s": 6.5}), 6.0)
    evidence.record_crash(_crash(3, "sax"), 6.0)
    evidence.record_crash(_crash(3, "se"), 6.1)
    evidence.record_crash(_crash(4, "sf"), 9.0)
    (parts,) = _quarantined(evidence, 9.0)
    assert "x" in parts


def test_answers_at_other_gateways_clear_a_suspected_part() -> None:
    """Guards against the view of one gateway that decides for all."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(6):
        evidence.record_crash(_crash(number, "s"), 3.0 * number)
        assert evidence.suspects() == ["s"]
        evidence.record_served(
            [fleet.ServedPart(part="s", age_ms=100)], 3.0 * number + 1.0
        )
        assert not evidence.suspects()
    assert not evidence.active(18.0)


def test_part_beside_the_crashing_one_is_not_refused_alone() -> None:
    """Guards against sound requests on a subject that the cause shares."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        evidence.record_crash(_crash(number, "ax"), float(number))
    assert _quarantined(evidence, 2.0) == ["ax"]
    evidence.record_crash(_crash(3, "bx"), 3.0)
    assert sorted(_quarantined(evidence, 3.0)) == ["ax", "x"]


def test_next_crash_after_a_lifted_quarantine_renews_it_for_longer() -> None:
    """Guards against three more crashes each time a quarantine is lifted."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        evidence.record_crash(_crash(number, "x"), float(number))
    lifted_at = 2.0 + crash_evidence.QUARANTINE_S
    assert not evidence.active(lifted_at)
    evidence.record_crash(_crash(3, "x"), lifted_at)
    (item,) = evidence.active(lifted_at)
    assert item.until == lifted_at + 2 * crash_evidence.QUARANTINE_S


def test_evidence_of_many_crashes_stays_bounded() -> None:
    """Guards against memory that grows with every crash."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(3000):
        evidence.record_crash(_crash(number, f"{number % 7}"), float(number))
    assert len(evidence.quarantines) <= 7
    assert len(evidence._crashes) <= 600
