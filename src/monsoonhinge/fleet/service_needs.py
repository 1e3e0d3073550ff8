"""Demand for the models of one service; performs no I/O."""

from collections.abc import Mapping, Sequence
import dataclasses

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceNeeds:
    """Demand for the models of a service, by whether they can be loaded.

    Requests can wait for a model that no engine may load: all engines are gone,
    or a new configuration has moved the model to another service.

    Attributes:
        loadable: Demand for the models that an engine is configured for.
        waiting_in_vain: Other models with waiting requests.
    """

    loadable: dict[str, demand.Need]
    waiting_in_vain: list[str]

    @classmethod
    def from_demand(
        cls,
        needs: Mapping[demand.ModelKey, demand.Need],
        *,
        service: str,
        fleet: Sequence[engines.Engine],
    ) -> "ServiceNeeds":
        """Selects the demand for one service.

        Args:
            needs: Demand by model, of all services.
            service: Name of the service.
            fleet: Engines of the service.
        """
        versions = {engine.registration.software_version for engine in fleet}
        loadable = {}
        waiting_in_vain = []
        for key, need in needs.items():
            if key.service != service:
                continue
            if any(engine.is_configured(key.model) for engine in fleet):
                loadable[key.model] = need.at_versions(versions)
            elif need.waiting:
                waiting_in_vain.append(key.model)
        return cls(loadable=loadable, waiting_in_vain=waiting_in_vain)
