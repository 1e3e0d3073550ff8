"""Components of a gateway that all of its requests share."""

from collections.abc import Callable
import dataclasses

from monsoonhinge.ingress import admission
from monsoonhinge.ingress import crash_reports
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import prompt_quarantine
from monsoonhinge.ingress import rate_limiter
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import retry_budget
from monsoonhinge.ingress import stream_origins
from monsoonhinge.ingress import target_client
from monsoonhinge.ingress import target_notices
from monsoonhinge.ingress import wait_queue


@dataclasses.dataclass(slots=True)
class GatewayContext:
    """Components that request handlers and executors use.

    Attributes:
        dialect: Wire format of requests and responses.
        target_client: HTTP client for targets.
        balancer: Chooses the target of a request.
        wait_queue: Requests that wait for a target.
        retry_budget: Budget for retries.
        rate_limiter: Keeps requests within the rate limits of targets.
        notices: Applies what targets say about themselves in responses.
        quarantine: Prompts that must not reach any target.
        crash_reporter: Reports crashed targets.
        origins: Streams that this gateway has begun to relay.
        still_authorized: Returns whether the key of an admitted request is
            still valid.
        hopeless_wait: Returns the refusal of a request with these requirements
            that waits until this time, if it cannot be served by then.
        demand_changed: Called when a request starts or stops waiting or
            running.
        dispatch_at: Schedules a dispatch of the wait queue at a time of the
            event loop.
    """

    dialect: dialect.Dialect
    target_client: target_client.TargetClient
    balancer: load_balancer.LoadBalancer
    wait_queue: wait_queue.WaitQueue
    retry_budget: retry_budget.RetryBudget
    rate_limiter: rate_limiter.RateLimiter
    notices: target_notices.TargetNotices
    quarantine: prompt_quarantine.PromptQuarantine
    crash_reporter: crash_reports.CrashReporter
    origins: stream_origins.StreamOrigins
    still_authorized: Callable[[admission.AdmittedRequest], bool]
    hopeless_wait: Callable[
        [load_balancer.Requirements, float], refusal.Refusal | None
    ]
    demand_changed: Callable[[], None]
    dispatch_at: Callable[[float], None]
