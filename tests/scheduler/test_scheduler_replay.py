"""Tests of the trace generator and the replay."""

import pathlib

from monsoonhinge.bench import baselines
from monsoonhinge.bench import replay
from monsoonhinge.bench import traces

_TRACES = pathlib.Path(__file__).parents[2] / "bench" / "traces"


def test_committed_traces_are_what_the_generator_makes() -> None:
    """Guards against committed traces that the generator cannot reproduce."""
    for path in sorted(_TRACES.glob("*.jsonl")):
        known = traces.Trace.read(path)
        made = traces.generate(
            traces.DEPLOYMENTS[known.header["deployment"]],
            seed=known.header["seed"],
            duration_s=known.header["duration_s"],
        )
        assert made == known
    assert len(list(_TRACES.glob("*.jsonl"))) == 2


def test_replay_serves_what_it_admits() -> None:
    """Guards against admitted requests that the replay never serves."""
    trace = traces.generate(traces.TAFILALT, seed=3, duration_s=200.0)
    # Requests admitted before 180 s are served before the trace ends.
    trace.events = [event for event in trace.events if event["t"] < 180]
    outcome = replay.Replay(trace, baselines.SCHEDULER).run()
    assert outcome.admitted == len(outcome.waits_s) > 100
    assert outcome.expired == 0
    assert outcome.worst_served_share() > 0.9
