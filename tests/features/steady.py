"""A steady background load for scenarios."""

import asyncio
import threading
import time
from typing import Any

from monsoonhinge.bench import load
from monsoonhinge.bench import load_plan
from tests.features import deployment

_MAX_DURATION_S = 120.0


class BackgroundLoad:
    """Sends requests through a simulated load balancer until it is finished.

    Attributes:
        report: Report of the load; empty until it is finished.
    """

    def __init__(
        self, system: deployment.Deployment, *, model: str, rate: float = 20.0
    ) -> None:
        gateways = system.cluster.nodes_of("gateway")
        common: dict[str, Any] = {
            "key": "key-of-the-bars",
            "timeout_s": 20,
            "rate_per_s": rate / 2,
        }
        self.report: dict[str, Any] = {}
        self._plan = load_plan.LoadPlan.model_validate(
            {
                "gateways": [node.url("callers") for node in gateways],
                "operations": [node.operations_url for node in gateways],
                "duration_s": _MAX_DURATION_S,
                "flows": [
                    {
                        **common,
                        "name": "streams",
                        "route": f"{model}-route",
                        "stream": True,
                        "max_tokens": 100,
                    },
                    {
                        **common,
                        "name": "calls",
                        "route": "ledger",
                        "kind": "call",
                        "path": "/depots",
                    },
                ],
            }
        )
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def finish(self, *, at: float = 0.0) -> None:
        """Stops the load, but not before a time of the monotonic clock."""
        self._stop_requested.wait(max(0.0, at - time.monotonic()))
        self._stop_requested.set()
        self._thread.join(60)
        assert self.report, "the load did not end"

    def check(self) -> None:
        """Fails unless every request got a complete response."""
        outcomes = self.report["all"]["outcomes"]
        assert set(self.report["flows"]) == {"streams", "calls"}
        assert set(outcomes) == {"ok"}, self.report["all"]
        assert not self.report["not_sent"]

    def _run(self) -> None:
        self.report = asyncio.run(
            load.run(self._plan, stopping=self._stop_requested.is_set)
        )
