"""Sends a request to one target."""

import asyncio
from collections.abc import Callable

from monsoonhinge.gateway import forward
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import gateway_context
from monsoonhinge.ingress import stall
from monsoonhinge.ingress import target_client
from monsoonhinge.ingress import target_table
from monsoonhinge.ingress import timeouts


async def send(
    *,
    context: gateway_context.GatewayContext,
    parsed: dialect.ParsedRequest,
    admitted: admission.AdmittedRequest,
    target: target_table.Target,
    left_s: float,
    timeout_s: float | None,
    reserve_attempt: Callable[[], bool],
    last_event_id: str,
) -> target_client.TargetResponse:
    """Sends a request and returns once the response headers have arrived.

    Args:
        context: Components of the gateway.
        parsed: The request.
        admitted: Its route, service and team.
        target: Target that gets the request.
        left_s: Seconds until the deadline of the request.
        timeout_s: Seconds after which another attempt is made if the response
            headers have not arrived, or None if there is no other attempt.
        reserve_attempt: Returns whether another attempt is possible then.
        last_event_id: Event after which a stream resumes, or "".

    Raises:
        stall.Stalled: There was no response in time, and another attempt was
            reserved.
        forward.NotSent: The connection could not be established.
        forward.AnswerLost: There was no response in time, or the connection
            failed after a part of the request may have been sent.
    """
    team = admitted.team
    has_model = bool(admitted.requirements(parsed).model)
    headers = context.dialect.request_headers(
        parsed,
        target=target.name,
        team=team.name if team is not None else "",
        time_left_ms=max(1, int(left_s * 1000)),
        priority=timeouts.engine_priority(admitted.priority)
        if has_model
        else None,
        last_event_id=last_event_id,
    )
    address = target.registration.address
    watchdog = None
    try:
        async with asyncio.timeout(left_s) as limit:
            if timeout_s is not None:
                watchdog = stall.Watchdog(
                    limit=limit,
                    timeout_s=timeout_s,
                    reserve_attempt=reserve_attempt,
                )
            return await context.target_client.send(
                method=parsed.method,
                address=address,
                path=parsed.raw_path,
                headers=headers,
                body=parsed.body,
                timeout_s=left_s,
            )
    except TimeoutError as error:
        if watchdog is not None and watchdog.fired:
            raise stall.Stalled(
                "no response in time", step="forward", peer=address
            ) from error
        raise forward.AnswerLost(
            "no response before the timeout",
            step="forward",
            peer=address,
            timed_out=True,
        ) from error
    finally:
        if watchdog is not None:
            watchdog.stop()
