"""A complete system on loopback that all scenarios share."""

from collections.abc import Callable
import concurrent.futures
import contextlib
import http.client
import pathlib
import time
from typing import Any

from monsoonhinge.bench import local_cluster
from monsoonhinge.bench import operator_client
from monsoonhinge.bench import polling
from monsoonhinge.bench import sync_client

CONTROL_COUNT = 3
GATEWAY_COUNT = 3
ENGINES = ("engine-0", "engine-1")
SERVICES = ("service-0", "service-1")

# Time until a change is in effect everywhere; section 1.4 of the design page.
CONFIG_IN_EFFECT_S = 20.0
# Time after the withdrawal of a key until new requests are refused and until
# open streams are cut off; section 4.
KEY_REFUSED_S = 4.0
STREAM_ENDED_S = 10.0
# Time after which a target that silently shuts down gets no new work;
# section 6.
NO_NEW_WORK_S = 4.0
# Time after which the outcome of a lost gateway's calls is unknown; section 4.
OUTCOME_UNKNOWN_S = 10.0
# Additional time that processes may take on a busy machine.
SLACK_S = 10.0

REPLICA_BYTES = 11_000_000_000
MODELS = ("deposits", "notes", "reviews", "pallets", "menus", "labels")


def objects() -> list[dict[str, Any]]:
    """Returns the configuration documents with which scenarios start."""
    documents: list[dict[str, Any]] = [
        {
            "kind": "service",
            "name": "ledger",
            "non_repeatable": [{"method": "POST", "path_prefix": "/refunds"}],
        },
        {"kind": "route", "name": "ledger", "service": "ledger"},
        {"kind": "store", "name": "weights", "loads_per_s": 4.0},
        {"kind": "policy", "name": "policy", "min_keep_s": 300.0},
    ]
    documents[1]["teams"] = ["bars", "drivers"]
    for team, rate, burst in (
        ("bars", 20_000, 200_000),
        ("drivers", 20_000, 200_000),
        ("reviewers", 200, 400),
    ):
        documents.append(
            {
                "kind": "team",
                "name": team,
                "tokens_per_s": rate,
                "burst_tokens": burst,
            }
        )
    for model in MODELS:
        documents += [
            {
                "kind": "model",
                "name": model,
                "versions": [
                    {"version": "1", "weights_bytes": 10**10, "load_s": 1.0}
                ],
                "current": "1",
                "kv_bytes_per_replica": 10**9,
                "max_replicas": 2 if model == "pallets" else 1,
            },
            {
                "kind": "route",
                "name": f"{model}-route",
                "model": model,
                "teams": ["bars", "drivers", "reviewers"],
            },
        ]
    return documents


class Deployment:
    """A running system and the actions that scenarios perform on it.

    Attributes:
        cluster: Processes of the system.
        operator: Client of the operator.
        pool: Threads for concurrent callers.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.cluster = local_cluster.Cluster.create(
            folder,
            controls=CONTROL_COUNT,
            schedulers=2,
            gateways=GATEWAY_COUNT,
            engines=2,
            services=2,
            stores=1,
            relayed_nodes=[f"control-{CONTROL_COUNT - 1}"],
            engine_settings={
                "load_s": 1.0,
                "announce_s": 0.5,
                "memory_bytes": 6 * REPLICA_BYTES,
                "default_bytes": REPLICA_BYTES,
            },
            service_settings={"services": ["ledger"], "announce_s": 0.5},
        )
        self.operator = operator_client.OperatorClient.for_cluster(self.cluster)
        self.pool = concurrent.futures.ThreadPoolExecutor(64)

    def start(self) -> None:
        """Starts all processes, publishes the configuration, grants keys."""
        self.cluster.start()
        result = self.operator.publish(1, objects())
        assert result.code == "accepted", result
        for team in ("bars", "drivers", "reviewers"):
            self.grant_key(team, f"key-of-the-{team}")
        self.restore()

    def stop(self) -> None:
        """Kills all processes and cancels pending callers."""
        self.cluster.stop()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def restore(self) -> None:
        """Undoes link modes, faults and process exits of earlier scenarios."""
        for link in self.cluster.relays.values():
            link.set_mode("pass")
        for name, node in self.cluster.nodes.items():
            if not node.is_running:
                self.cluster.start(name)
        self.cluster.wait_ready(timeout=30)
        for node in self.cluster.nodes_of("emulator"):
            if node.settings["kind"] != "store":
                self.cluster.set_faults(node.name)
        self.wait_for_targets()

    def wait_for_targets(self, *, timeout: float = SLACK_S) -> None:
        """Waits until each running gateway knows exactly all targets."""
        names = (*ENGINES, *SERVICES)
        polling.wait_until(
            lambda: all(
                set(self.cluster.dump(node.name)["targets"]) == set(names)
                for node in self.cluster.nodes_of("gateway")
                if node.is_running
            ),
            timeout=timeout,
            description=f"gateways know {names}",
        )

    def grant_key(self, team: str, key: str) -> None:
        """Grants a key to a team and waits until gateways accept it."""
        result = self.operator.grant_key(name=key, team=team, key=key)
        assert result.code == "accepted", result
        self.wait_for_version(result.version)

    def _version(self, gateway: str) -> int:
        # A gateway that was just started may not listen yet.
        with contextlib.suppress(OSError):
            return int(self.cluster.dump(gateway)["version"])
        return -1

    def wait_for_version(
        self, version: int, *, timeout: float = CONFIG_IN_EFFECT_S
    ) -> None:
        """Waits until a version is in effect at all running gateways."""
        polling.wait_until(
            lambda: all(
                self._version(node.name) >= version
                for node in self.cluster.nodes_of("gateway")
                if node.is_running
            ),
            timeout=timeout,
            description=f"version {version} in effect at every gateway",
        )

    def url(self, gateway: int, path: str) -> str:
        """Returns the URL of a path on a gateway."""
        node = self.cluster.nodes[f"gateway-{gateway}"]
        return node.url("callers") + path

    def open_request(
        self,
        model: str,
        *,
        gateway: int = 0,
        team: str = "bars",
        key: str = "",
        tokens: int = 4,
        stream: bool = False,
        timeout: float = 30.0,
    ) -> sync_client.StreamedResponse:
        """Sends a model request and returns the response as it streams."""
        return sync_client.StreamedResponse(
            self.url(gateway, "/v1/chat/completions"),
            key=key or f"key-of-the-{team}",
            body={
                "model": f"{model}-route",
                "stream": stream,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": "how much?"}],
            },
            headers={"X-Request-Timeout": str(timeout)},
            timeout=timeout + SLACK_S,
        )

    def send_request(self, model: str, **fields: Any) -> sync_client.Response:
        """Sends a model request and returns the complete response."""
        return self.open_request(model, **fields).read()

    def send_refund(
        self, number: str, *, gateway: int = 0, timeout: float = 30.0
    ) -> sync_client.Response:
        """Sends a refund with its number as the idempotency key."""
        return sync_client.send(
            self.url(gateway, f"/services/ledger/refunds/{number}"),
            key="key-of-the-bars",
            body={"kegs": 3},
            headers={
                "Idempotency-Key": number,
                "X-Request-Timeout": str(timeout),
            },
            timeout=timeout + SLACK_S,
        )

    def run_in_thread(
        self, function: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> "concurrent.futures.Future[Any]":
        """Calls a function in a thread of the pool."""
        return self.pool.submit(function, *args, **kwargs)

    def count_refund_runs(self, number: str) -> int:
        """Returns how many times the ledger services have run a refund."""
        path = f"/refunds/{number}"
        return sum(
            int(self.cluster.dump(name)["effects"].get(path, 0))
            for name in SERVICES
        )

    def engine_states(self) -> dict[str, dict[str, Any]]:
        """Returns the state dumps of the running engines by name."""
        return {
            node.name: self.cluster.dump(node.name)
            for node in self.cluster.nodes_of("emulator")
            if node.settings["kind"] == "engine" and node.is_running
        }

    def replicas(self, model: str) -> list[tuple[str, str]]:
        """Returns the engine's name and state of each replica of a model."""
        return [
            (name, replica["state"])
            for name, state in self.engine_states().items()
            for replica in state["announcement"]["replicas"]
            if replica["model"] == model
        ]

    def load_order_ids(self, model: str) -> set[str]:
        """Returns the ids of load orders that running engines received."""
        return {
            order["order_id"]
            for state in self.engine_states().values()
            for order in state["orders"]
            if order["action"] == "load" and order["model"] == model
        }

    def active_scheduler(self) -> str:
        """Returns the name of the scheduler that holds the lease.

        Raises:
            TimeoutError: No scheduler, or more than one, held the lease.
        """
        active: list[str] = []

        def has_one_active() -> bool:
            active[:] = [
                node.name
                for node in self.cluster.nodes_of("scheduler")
                if node.is_running and self.cluster.dump(node.name)["fencing"]
            ]
            return len(active) == 1

        polling.wait_until(
            has_one_active, timeout=SLACK_S, description="one active scheduler"
        )
        return active[0]


def eventually(
    condition: Callable[[], bool], *, within: float, description: str
) -> None:
    """Waits for a condition; errors of unreachable processes are ignored."""

    def attempt() -> bool:
        with contextlib.suppress(OSError, http.client.HTTPException):
            return condition()
        return False

    polling.wait_until(attempt, timeout=within, description=description)


def seconds_since(started: float) -> float:
    """Returns the time since a reading of the monotonic clock."""
    return time.monotonic() - started
