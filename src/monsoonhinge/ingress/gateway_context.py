"""Components of a gateway that all of its requests share."""

from collections.abc import Callable
import dataclasses

from monsoonhinge.ingress import admission
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import retry_budget
from monsoonhinge.ingress import upstream
from monsoonhinge.ingress import wait_queue


@dataclasses.dataclass(slots=True)
class GatewayContext:
    """Components that request handlers and executors use.

    Attributes:
        dialect: Wire format of requests and responses.
        upstream: HTTP client for targets.
        balancer: Chooses the target of a request.
        wait_queue: Requests that wait for a target.
        retries: Budget for retries.
        still_authorized: Returns whether the key of an admitted request is
            still valid.
        demand_changed: Called when a request starts or stops waiting or
            running.
        dispatch_at: Schedules a dispatch of the wait queue at a time of the
            event loop.
    """

    dialect: dialect.Dialect
    upstream: upstream.UpstreamClient
    balancer: load_balancer.LoadBalancer
    wait_queue: wait_queue.WaitQueue
    retries: retry_budget.RetryBudget
    still_authorized: Callable[[admission.AdmittedRequest], bool]
    demand_changed: Callable[[], None]
    dispatch_at: Callable[[float], None]
