"""Value of loads, for the order in which they start; performs no I/O."""

from collections.abc import Sequence
import math

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines

# Value of a request that misses its deadline, relative to one that meets it.
_LATE_REQUEST_WEIGHT = 0.15

# Factor by which the value of a request falls with each priority number.
_PRIORITY_FACTOR = 0.8

# Unserved requests that count in the order of loads from cached copies. They
# decide between models with the same demand, and delay no more urgent one.
_MAX_DEFICIT = 0.5

# Expected arrivals within this time add to the value of a load.
_DEMAND_HORIZON_S = 8.0


def shortest_load_s(fleet: Sequence[engines.Engine], model: str) -> float:
    """Returns the time of the fastest load of a model, in seconds."""
    return min(
        (e.load_s(model) for e in fleet if e.is_configured(model)),
        default=math.inf,
    )


def load_order(
    fleet: Sequence[engines.Engine], model: str, need: demand.Need, now: float
) -> tuple[float, float]:
    """Returns a sort key that puts the most value per load time first.

    The value of a load covers the waiting requests and the expected arrivals.
    Waiting requests count less if the load would finish after their deadline.
    """
    slack_s = need.earliest_latency_deadline - now
    load_s = shortest_load_s(fleet, model)
    waiting = need.waiting * (
        1.0 if slack_s >= load_s else _LATE_REQUEST_WEIGHT
    )
    value = (
        waiting + expected_requests(need) + min(need.deficit, _MAX_DEFICIT)
    ) * _PRIORITY_FACTOR**need.priority
    return -value / load_s, slack_s


def expected_requests(need: demand.Need) -> float:
    """Returns the requests that a model which is loaded can expect soon."""
    return need.rate * _DEMAND_HORIZON_S


def load_requests(
    fleet: Sequence[engines.Engine], model: str, need: demand.Need, now: float
) -> float:
    """Returns the value of a load, in requests.

    Waiting requests count if they wait long enough for the load to finish.
    Requests that were not served before count as well, so that a model that is
    rarely requested gets its turn.
    """
    wait_s = need.latest_queue_deadline - now
    waiting = need.waiting if wait_s >= shortest_load_s(fleet, model) else 0
    return waiting + expected_requests(need) + need.deficit
