"""State of a gateway as operators see it."""

from typing import Any

from monsoonhinge.ingress import fleet_client
from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import prompt_quarantine
from monsoonhinge.ingress import request_handler
from monsoonhinge.ingress import target_table
from monsoonhinge.ingress import wait_queue


def dump(
    *,
    handler: request_handler.RequestHandler | None,
    client: fleet_client.FleetClient,
    balancer: load_balancer.LoadBalancer,
    waiting: wait_queue.WaitQueue,
    quarantine: prompt_quarantine.PromptQuarantine,
    now: float,
) -> dict[str, Any]:
    """Returns the state dump of a gateway.

    Args:
        handler: HTTP handler; None before the start.
        client: Client of the control members.
        balancer: Chooses targets.
        waiting: Requests that wait for a target.
        quarantine: Prompts that must not reach any target.
        now: Current time of the event loop.
    """
    freshness = client.freshness(now)
    return {
        "version": freshness.version,
        "staleness_s": freshness.loggable_staleness_s,
        "open": handler.active_request_count if handler else 0,
        "waiting": waiting.count(),
        "gateways": client.gateway_count,
        "fencing": balancer.targets.fencing,
        "targets": {
            name: _target(target)
            for name, target in balancer.targets.by_name.items()
        },
        "ejected_until": balancer.ejections.ejected_until(),
        "quarantined_s": quarantine.dump(now),
    }


def _target(target: target_table.Target) -> dict[str, Any]:
    limit = target.rate_limit
    return {
        "state": target.registration.state,
        "address": target.registration.address,
        "models": sorted(target.models),
        "running": target.running_count(),
        "answer_s": target.response_latency_s,
        "rate_limit": None if limit is None else limit.requests_per_s,
    }
