"""Expected times of loads that wait for the weight store; performs no I/O."""

from collections.abc import Sequence
import dataclasses
import heapq


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedLoad:
    """A model that has to be read from the store before it can be served.

    Attributes:
        model: Name of the model.
        load_s: Time of the load at full speed.
    """

    model: str
    load_s: float


def ready_in_s(
    queue: Sequence[QueuedLoad], *, active_s: Sequence[float], concurrency: int
) -> dict[str, float]:
    """Returns the time until each model can be ready, in seconds.

    The order can change, so that each model may go before as many others as the
    store reads at once.

    Args:
        queue: Loads that wait, in their order.
        active_s: Remaining time of each load in progress.
        concurrency: Loads that the store reads at once.
    """
    slots = sorted(active_s)[:concurrency]
    slots += [0.0] * (concurrency - len(slots))
    heapq.heapify(slots)
    starts = []
    for load in queue:
        start_s = heapq.heappop(slots)
        starts.append(start_s)
        heapq.heappush(slots, start_s + load.load_s)
    return {
        load.model: starts[max(0, position - concurrency)] + load.load_s
        for position, load in enumerate(queue)
    }
