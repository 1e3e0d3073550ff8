"""What all requests of a gateway share."""

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
    """Parts that requests use.

    Attributes:
        dialect: Wire format.
        upstream: Connections to targets.
        balancer: Choice of the target.
        waiting: Requests that wait for a target.
        retries: Budget of repeated attempts.
        still_valid: Whether a request that waited may still run.
        demand_changed: Called when requests begin or end to wait or to run.
        wake_at: Lets waiting requests try again at a time.
    """

    dialect: dialect.Dialect
    upstream: upstream.UpstreamClient
    balancer: load_balancer.LoadBalancer
    wait_queue: wait_queue.WaitQueue
    retries: retry_budget.RetryBudget
    still_authorized: Callable[[admission.AdmittedRequest], bool]
    demand_changed: Callable[[], None]
    dispatch_at: Callable[[float], None]
