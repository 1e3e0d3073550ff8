"""What all requests of a gateway share."""

from collections.abc import Callable
import dataclasses

from monsoonhinge.ingress import admission
from monsoonhinge.ingress import balance
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import retries
from monsoonhinge.ingress import upstream
from monsoonhinge.ingress import waiting


@dataclasses.dataclass(slots=True)
class Shared:
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
    upstream: upstream.Upstream
    balancer: balance.Balancer
    waiting: waiting.WaitingRoom
    retries: retries.RetryBudget
    still_valid: Callable[[admission.Admitted], bool]
    demand_changed: Callable[[], None]
    wake_at: Callable[[float], None]
