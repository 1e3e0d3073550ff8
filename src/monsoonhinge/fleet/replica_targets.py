"""Desired replicas of busy models; performs no I/O.

Load pattern: some models are busy at the same time, and many others are
requested a few times each. Replicas of busy models may not be evicted, so all
of them together have to leave memory in which the other models take turns.
"""

from collections.abc import Mapping, Sequence
import heapq
import math

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines

# Request rate from which a model is treated as busy.
BUSY_REQUESTS_PER_S = 0.8

# Rate of adapter requests from which a model needs an engine that can load
# adapters at any time.
BUSY_ADAPTER_REQUESTS_PER_S = 0.3

# Replicas of a busy model as a fraction of the engines. They tolerate the loss
# of an engine; with adapters, one engine can load an adapter while another
# swaps models.
_REPLICA_FRACTION = 0.4
_ADAPTER_REPLICA_FRACTION = 0.55

# Replicas of all busy models as a fraction of the models that the engines hold
# together.
_MIN_BUSY_FRACTION = 1 / 3
_MAX_BUSY_FRACTION = 1 / 2

# Time for which a request for a rarely used model occupies the memory of one
# model: the load, the run and the unload.
_RARE_REQUEST_S = 3.0


def desired_replicas(
    fleet: Sequence[engines.Engine], needs: Mapping[str, demand.Need]
) -> dict[str, int]:
    """Returns the desired replicas of each busy model.

    The busiest models get one each. The others go, one by one, to the model
    with the most requests for each replica that it would have, until all models
    have as many as they can use or the memory for busy models is full.

    Args:
        fleet: Engines of the service.
        needs: Demand by model.
    """
    memory = _memory_for_busy_models(fleet, needs)
    busiest = sorted(needs, key=lambda model: -needs[model].rate)[:memory]
    busy = {
        model: needs[model]
        for model in busiest
        if needs[model].rate >= BUSY_REQUESTS_PER_S
    }
    result = dict.fromkeys(busy, 1)
    left = memory - len(busy)
    queue = [(-need.rate / 2, model) for model, need in busy.items()]
    heapq.heapify(queue)
    while queue and left > 0:
        _, model = heapq.heappop(queue)
        if result[model] < _most_replicas(busy[model], len(fleet)):
            result[model] += 1
            left -= 1
            priority = -busy[model].rate / (result[model] + 1)
            heapq.heappush(queue, (priority, model))
    return result


def _most_replicas(need: demand.Need, engine_count: int) -> int:
    share = _REPLICA_FRACTION
    if need.adapter_rate >= BUSY_ADAPTER_REQUESTS_PER_S:
        share = _ADAPTER_REPLICA_FRACTION
    return min(engine_count, max(1, math.ceil(share * engine_count)))


def _memory_for_busy_models(
    fleet: Sequence[engines.Engine], needs: Mapping[str, demand.Need]
) -> int:
    """Returns how many replicas all busy models together may have."""
    capacity = sum(engine.model_capacity() for engine in fleet)
    rare_rate = sum(
        need.rate for need in needs.values() if need.rate < BUSY_REQUESTS_PER_S
    )
    left = capacity - math.ceil(rare_rate * _RARE_REQUEST_S)
    lowest = math.ceil(_MIN_BUSY_FRACTION * capacity)
    highest = math.ceil(_MAX_BUSY_FRACTION * capacity)
    return min(highest, max(lowest, left))
