"""Estimates when a model that no target serves can be ready.

Load pattern: callers request models that only the weight store holds, and
their timeouts are shorter than the load. The estimate becomes the Retry-After
value of the refusal.
"""

from monsoonhinge.config import ingress
from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import model_delays
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import target_table

# Used if nothing is known about the load time.
_DEFAULT_ESTIMATE_S = 1.0
_MIN_ESTIMATE_S = 0.05

# A gateway that is cut off cannot serve what another one may serve at once.
_OTHER_GATEWAY_RETRY_S = 0.5


def seconds_until_ready(
    requirements: load_balancer.Requirements,
    *,
    engine: ingress.IngressEngine | None,
    targets: target_table.TargetTable,
    now: float,
) -> float:
    """Returns the minimum time until a request can be served, in seconds.

    Args:
        requirements: Requirements of the request.
        engine: Engine limits of the service; None if its targets load no
            models.
        targets: Known targets.
        now: Current time in seconds.
    """
    ready_at = targets.earliest_ready_at(
        service=requirements.service,
        model=requirements.model,
        adapter=requirements.adapter,
        software_version=requirements.software_version,
    )
    if ready_at is not None:
        return max(_MIN_ESTIMATE_S, ready_at - now)
    if engine is None:
        return _DEFAULT_ESTIMATE_S
    found = [
        model for model in engine.models if model.name == requirements.model
    ]
    if not found:
        return _DEFAULT_ESTIMATE_S
    known = targets.available_targets(requirements.service)
    if any(requirements.model in t.registration.in_memory for t in known):
        return found[0].warm_load_s
    if any(requirements.model in t.registration.on_disk for t in known):
        return found[0].disk_load_s
    return found[0].load_s


def hopeless_wait(
    requirements: load_balancer.Requirements,
    *,
    balancer: load_balancer.LoadBalancer,
    delays: model_delays.ModelDelays,
    queue_deadline: float,
    cut_off: bool,
    now: float,
) -> refusal.Refusal | None:
    """Returns the refusal of a request that cannot be served in time.

    Load pattern: no target runs the software version that began the stream.
    Or all targets with the model have asked for a pause, or have no
    permit left, beyond the time that the request can wait. The model is not
    loaded elsewhere, since it is loaded there. Or no target has the model, and
    its load ends too late. Or the gateway is cut off from the control members,
    so that nobody loads the models that it asks for.

    Args:
        requirements: Requirements of the request.
        balancer: Chooses targets.
        delays: Models that wait for the weight store.
        queue_deadline: When the request stops waiting, in event loop seconds.
        cut_off: Whether no control member has confirmed this gateway's
            configuration for too long.
        now: Current time of the event loop.
    """
    if requirements.software_version is not None and (
        not balancer.targets.available_targets(
            requirements.service, requirements.software_version
        )
    ):
        return refusal.Refusal(refusal.Reason.VERSION_GONE, step="wait")
    opens_at = balancer.opens_at(requirements)
    if opens_at is not None and opens_at < queue_deadline:
        return None
    ready_at = None
    if requirements.model:
        ready_at = balancer.targets.earliest_ready_at(
            service=requirements.service,
            model=requirements.model,
            adapter=requirements.adapter,
            software_version=requirements.software_version,
        )
        if ready_at is None:
            ready_at = delays.ready_at(
                requirements.service, requirements.model, now
            )
        if ready_at is not None and ready_at < queue_deadline:
            return None
    if opens_at is None and cut_off:
        return refusal.Refusal(
            refusal.Reason.NO_TARGET,
            retry_after_s=_OTHER_GATEWAY_RETRY_S,
            step="wait",
        )
    if opens_at is not None:
        return refusal.Refusal(
            refusal.Reason.TARGETS_FULL,
            retry_after_s=opens_at - now,
            step="wait",
        )
    if ready_at is None:
        return None
    return refusal.Refusal(
        refusal.Reason.NOT_IN_TIME, retry_after_s=ready_at - now, step="wait"
    )


def wait_refusal(
    requirements: load_balancer.Requirements,
    *,
    engine: ingress.IngressEngine | None,
    targets: target_table.TargetTable,
    now: float,
) -> refusal.Refusal:
    """Returns the refusal of a request whose wait has timed out."""
    known = targets.available_targets(requirements.service)
    return refusal.Refusal(
        refusal.Reason.NOT_IN_TIME if known else refusal.Reason.NO_TARGET,
        retry_after_s=seconds_until_ready(
            requirements, engine=engine, targets=targets, now=now
        ),
        step="wait",
    )
