"""Synthetic configurations and targets for measurements."""

from typing import Any

from monsoonhinge.protocol import messages


def objects(*, models: int, adapters: int, teams: int) -> list[dict[str, Any]]:
    """Returns configuration documents with a number of objects of each kind.

    Each model has one route, and each adapter belongs to one of the models.
    """
    documents: list[dict[str, Any]] = [
        {
            "kind": "model",
            "name": f"model-{n}",
            "versions": [
                {"version": "1", "weights_bytes": 10**10, "load_s": 2.0}
            ],
            "current": "1",
            "kv_bytes_per_replica": 10**9,
        }
        for n in range(models)
    ]
    documents += [
        {
            "kind": "adapter",
            "name": f"adapter-{n}",
            "model": f"model-{n % models}",
            "bytes": 10**7,
        }
        for n in range(adapters)
    ]
    documents += [
        {
            "kind": "team",
            "name": f"team-{n}",
            "tokens_per_s": 1_000_000,
            "burst_tokens": 100_000_000,
        }
        for n in range(teams)
    ]
    documents += [
        {
            "kind": "route",
            "name": f"route-{n}",
            "model": f"model-{n}",
            "teams": [f"team-{n % teams}"],
        }
        for n in range(models)
    ]
    return documents


def target(
    number: int, sequence: int, *, replicas: int
) -> messages.TargetState:
    """Returns the announcement of a synthetic engine.

    Args:
        number: Number of the target, from which its fields are derived.
        sequence: Sequence number of the announcement; loads depend on it.
        replicas: Number of loaded replicas.
    """
    return messages.TargetState(
        target=f"target-{number}",
        incarnation=1,
        sequence=sequence,
        kind="engine",
        availability_zone=f"zone-{number % 7}",
        address=f"127.0.0.1:{20_000 + number}",
        memory_bytes=640 * 10**9,
        checks_fencing=True,
        replicas=[
            messages.ReplicaState(
                model=f"model-{(number + n) % 1400}",
                version="1",
                state="loaded",
                order_id=f"{number:016x}{n:016x}",
                running=sequence % 7,
            )
            for n in range(replicas)
        ],
    )
