"""Events of one request for the event log."""

from monsoonhinge.ingress import admission
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import target_table
from monsoonhinge.runtime import events


def attempt(
    *,
    parsed: dialect.ParsedRequest,
    admitted: admission.AdmittedRequest,
    target: target_table.Target,
    fencing: int,
    waited_s: float,
    head_s: float,
    status: int,
    rate_limit: float | None,
    outcome: str,
) -> None:
    """Logs an attempt whose response headers have arrived.

    Args:
        parsed: The request.
        admitted: Its route, service and team.
        target: Target of the attempt.
        fencing: Fencing token of the placements that decided.
        waited_s: Time from the arrival of the request to the attempt.
        head_s: Time until the response headers arrived.
        status: HTTP status of the response.
        rate_limit: Requests per second that the response says the target
            accepts, or None.
        outcome: Whether the target ran the request.
    """
    events.emit(
        events.ATTEMPT,
        request_id=parsed.request_id,
        target=target.name,
        software_version=target.registration.software_version,
        first_request_id=parsed.first_request_id,
        last_event_id=parsed.last_event_id,
        model=parsed.model,
        running=target.running_count(),
        running_elsewhere=target.running_all_gateways,
        fencing=fencing,
        config=admitted.freshness.version,
        waited_s=round(waited_s, 4),
        head_s=round(head_s, 4),
        status=status,
        rate_limit=rate_limit,
        outcome=outcome,
    )


def ejected(
    *,
    parsed: dialect.ParsedRequest,
    target: target_table.Target,
    kind: str,
    relayed: bool,
    error: Exception,
) -> None:
    """Logs a failed attempt, after which its target is avoided.

    Args:
        parsed: The request.
        target: Target of the attempt.
        kind: Kind of the failure.
        relayed: Whether the caller has received a part of the response.
        error: The failure.
    """
    events.emit(
        events.EJECTED,
        request_id=parsed.request_id,
        target=target.name,
        kind=kind,
        prompt=parsed.shared_parts,
        relayed=relayed,
        error=str(error),
    )
