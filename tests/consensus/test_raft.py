"""Property-based tests of the consensus core under random faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from monsoonhinge.consensus import progress
from tests.consensus import cluster

_names = st.sampled_from(cluster.NAMES)


class FaultyCluster(stateful.RuleBasedStateMachine):
    """Guards against two leaders in a term, lost entries and stale reads."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        # One entry per message and small snapshot chunks allow more message
        # interleavings.
        self.patches = pytest.MonkeyPatch()
        self.patches.setattr(progress, "MAX_APPEND_BYTES", 1)
        self.patches.setattr(progress, "SNAPSHOT_CHUNK_BYTES", 64)
        self.cluster = cluster.Cluster(seed)
        self.proposed = 0
        self.cluster.run(2.0)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.4, 1.5]))
    def run(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @stateful.rule(count=st.integers(1, 20))
    def propose(self, count: int) -> None:
        self.proposed += count
        self.cluster.propose(
            [b"%d" % (self.proposed - n) for n in range(count)]
        )

    @stateful.rule(steps=st.integers(5, 60))
    def inject_random_faults(self, steps: int) -> None:
        self.cluster.inject_random_faults(steps)

    @stateful.rule(rate=st.sampled_from([0.0, 0.1, 0.4]))
    def lose_messages(self, rate: float) -> None:
        self.cluster.drop_rate = rate

    @stateful.rule(name=_names)
    def lose_directory(self, name: str) -> None:
        if self.cluster.has_all_voters():
            self.cluster.lose_data_directory(name)

    @stateful.rule(name=_names)
    def lose_second_directory_after_repair(self, name: str) -> None:
        self.lose_directory(name)
        for _ in range(60):
            self.cluster.run(0.1)
            self.cluster.replace_lost_members()
        self.lose_directory(cluster.NAMES[cluster.NAMES.index(name) - 1])

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        try:
            self._check_recovery()
        finally:
            self.patches.undo()

    def _check_recovery(self) -> None:
        self.cluster.blocked_links.clear()
        self.cluster.drop_rate = 0.0
        self.cluster.start_stopped()
        for _ in range(80):
            self.cluster.run(0.1)
            self.cluster.replace_lost_members()
        self.cluster.propose([b"last"])
        self.cluster.run(2.0)
        last = max(self.cluster.committed_entries)
        assert self.cluster.committed_entries[last][1] == b"last", "no progress"
        assert self.cluster.has_all_voters(), "member not repaired"
        for node in self.cluster.nodes.values():
            assert node.applied_index == last, "member lags after repair"


# All faults derive from one random seed, so shrinking cannot simplify them.
FaultyCluster.TestCase.settings = hypothesis.settings(
    max_examples=80,
    stateful_step_count=12,
    phases=(hypothesis.Phase.generate,),
)
TestFaultyCluster = FaultyCluster.TestCase
