"""Generates the example configurations barril.json and tafilalt.json.

The files are written to the directory of this script.

Usage: python examples/generate.py
"""

import dataclasses
import json
import pathlib
from typing import Any

_GIB = 1024**3
_MIB = 1024**2


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Parameters of an example deployment.

    Attributes:
        model_subjects: Subjects of the models; each subject has one model of
            each size.
        model_sizes: Name, weights in GiB and load time in seconds of each
            size.
        adapter_count: Number of adapters, spread evenly over the models.
        team_quotas: Tokens per second and weight of each team.
        service: Name of the service, which is not a model.
        non_retryable_path: Path prefix, without the leading slash, of the
            service's POST calls that must not be sent twice.
        loads_per_s: Maximum load starts per second at the weight store.
        cold_start_weight: Cost of a second of waiting for a load.
        idle_weight: Cost of a second of an idle accelerator.
    """

    model_subjects: tuple[str, ...]
    model_sizes: tuple[tuple[str, int, float], ...]
    adapter_count: int
    team_quotas: dict[str, tuple[float, float]]
    service: str
    non_retryable_path: str
    loads_per_s: float
    cold_start_weight: float
    idle_weight: float

    def objects(self) -> list[dict[str, Any]]:
        """Returns the configuration objects of the deployment."""
        models = self._models()
        adapters = self._adapters(models)
        return [
            *self._teams(),
            *models,
            *adapters,
            *self._routes(models, adapters),
            {
                "kind": "service",
                "name": self.service,
                "non_repeatable": [
                    {
                        "method": "POST",
                        "path_prefix": f"/{self.non_retryable_path}",
                    }
                ],
                "max_recorded_answer_bytes": 64 * 1024,
                "call_tokens": 20,
            },
            {
                "kind": "store",
                "name": "weights",
                "loads_per_s": self.loads_per_s,
                "concurrent_loads": 4,
                "concurrent_adapter_loads": 30,
            },
            {
                "kind": "policy",
                "name": "policy",
                "cold_start_weight": self.cold_start_weight,
                "idle_weight": self.idle_weight,
                "min_keep_s": 10.0,
                "max_keep_s": 1800.0,
            },
        ]

    def _teams(self) -> list[dict[str, Any]]:
        return [
            {
                "kind": "team",
                "name": name,
                "tokens_per_s": tokens_per_s,
                "burst_tokens": int(tokens_per_s * 30),
                "weight": weight,
            }
            for name, (tokens_per_s, weight) in self.team_quotas.items()
        ]

    def _models(self) -> list[dict[str, Any]]:
        return [
            {
                "kind": "model",
                "name": f"{subject}-{size}",
                "versions": [
                    {
                        "version": "1",
                        "weights_bytes": weights_gib * _GIB,
                        "load_s": load_s,
                    }
                ],
                "current": "1",
                "kv_bytes_per_replica": 2 * _GIB,
                "adapter_slot_bytes": 512 * _MIB,
                "max_replicas": 2,
                "max_concurrency": 16,
            }
            for subject in self.model_subjects
            for size, weights_gib, load_s in self.model_sizes
        ]

    def _adapters(self, models: list[dict[str, Any]]) -> list[dict[str, Any]]:
        model_names = [model["name"] for model in models]
        return [
            {
                "kind": "adapter",
                "name": f"{model_names[index % len(model_names)]}-"
                f"{'a' if index < len(model_names) else 'b'}",
                "model": model_names[index % len(model_names)],
                "bytes": (32 + index % 5 * 16) * _MIB,
            }
            for index in range(self.adapter_count)
        ]

    def _routes(
        self, models: list[dict[str, Any]], adapters: list[dict[str, Any]]
    ) -> list[dict[str, Any]]:
        teams = list(self.team_quotas)
        served = [("model", item) for item in models]
        served += [("adapter", item) for item in adapters]
        routes: list[dict[str, Any]] = [
            {
                "kind": "route",
                "name": item["name"],
                kind: item["name"],
                "teams": sorted({teams[0], teams[index % len(teams)]}),
                "max_timeout_s": 60.0,
            }
            for index, (kind, item) in enumerate(served)
        ]
        routes.append(
            {
                "kind": "route",
                "name": self.service,
                "service": self.service,
                "teams": teams,
                "max_timeout_s": 30.0,
                "max_body_bytes": 64 * 1024,
                "priority": 10,
            }
        )
        routes.append(
            {
                "kind": "route",
                "name": "questions",
                "model": models[0]["name"],
                "open_team": teams[-1],
                "max_timeout_s": 20.0,
                "max_output_tokens": 128,
            }
        )
        return routes


BARRIL = Deployment(
    model_subjects=(
        *("kegs", "refunds", "deposits", "brewers", "bars"),
        *("trucks", "returns", "washing", "invoices", "complaints"),
    ),
    model_sizes=(
        *(("nano", 2, 1.0), ("small", 4, 2.0), ("medium", 8, 3.5)),
        *(("large", 16, 6.0), ("code", 8, 3.5)),
    ),
    adapter_count=60,
    team_quotas={
        "returns-desk": (4000.0, 4.0),
        "breweries": (3000.0, 3.0),
        "drivers": (800.0, 1.0),
        "accounts": (600.0, 1.0),
        "visitors": (200.0, 0.5),
    },
    service="ledger",
    non_retryable_path="refunds",
    loads_per_s=4.0,
    cold_start_weight=4.0,
    idle_weight=1.0,
)

TAFILALT = Deployment(
    model_subjects=(
        *("mats", "swaps", "rounds", "weavers", "dyes", "patterns"),
        *("lobbies", "cleaning", "reviews", "contracts", "orders"),
        *("stock", "translations"),
    ),
    model_sizes=(
        *(("nano", 2, 1.2), ("small", 4, 2.5), ("medium", 8, 4.5)),
        *(("large", 16, 8.0), ("code", 8, 4.5)),
    ),
    adapter_count=75,
    team_quotas={
        "rounds-office": (3500.0, 3.0),
        "night-reviews": (2500.0, 2.0),
        "weaving": (700.0, 1.0),
        "contracts": (500.0, 1.0),
        "visitors": (200.0, 0.5),
    },
    service="rounds",
    non_retryable_path="swaps",
    loads_per_s=3.0,
    cold_start_weight=1.0,
    idle_weight=4.0,
)


def main() -> None:
    """Writes the configuration of each deployment to a file."""
    directory = pathlib.Path(__file__).parent
    for name, deployment in (("barril", BARRIL), ("tafilalt", TAFILALT)):
        lines = ",\n".join(
            f"  {json.dumps(item)}" for item in deployment.objects()
        )
        (directory / f"{name}.json").write_text(
            f'{{"version": 1, "objects": [\n{lines}\n]}}\n'
        )


if __name__ == "__main__":
    main()
