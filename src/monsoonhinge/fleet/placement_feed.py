"""Publishes the placements that changed, for the gateways."""

from collections.abc import Callable, Collection, Iterable

from monsoonhinge.fleet import engine as engines
from monsoonhinge.protocol import durations
from monsoonhinge.protocol import fleet

# Minimum interval between updates of the running counts to gateways.
_RUNNING_PUBLISH_INTERVAL_S = 0.5

# Target, model and adapter of a load in progress.
AdapterLoad = tuple[str, str, str]


class PlacementFeed:
    """Knows what was published last, and publishes the differences.

    Attributes:
        fencing: Fencing token of the lease under which models are placed.
    """

    def __init__(
        self, *, fencing: int, publish: Callable[[fleet.Placements], None]
    ) -> None:
        self.fencing = fencing
        self._publish = publish
        self._published: dict[str, fleet.Placement] = {}
        self._running_published_at = 0.0

    def forget(self, target: str) -> None:
        """Forgets an engine, so that a new one is published at once."""
        self._published.pop(target, None)

    def publish_changes(
        self,
        fleet_engines: Iterable[engines.Engine],
        *,
        adapters_in_flight: Collection[AdapterLoad],
        now: float,
    ) -> None:
        """Publishes the placements that differ from the last ones.

        Args:
            fleet_engines: All engines.
            adapters_in_flight: Adapters that are still being loaded.
            now: Current time in seconds.
        """
        include_running = (
            now - self._running_published_at >= _RUNNING_PUBLISH_INTERVAL_S
        )
        changed = []
        for engine in fleet_engines:
            current = placement_message(engine, now)
            for model in current.models:
                model.adapters = [
                    adapter
                    for adapter in model.adapters
                    if (engine.target, model.name, adapter)
                    not in adapters_in_flight
                ]
            previous = self._published.get(engine.target)
            if previous is None or _has_changed(
                current, previous, include_running
            ):
                self._published[engine.target] = current
                changed.append(current)
        if include_running:
            self._running_published_at = now
        if changed:
            self._publish(
                fleet.Placements(fencing=self.fencing, placements=changed)
            )


def _has_changed(
    current: fleet.Placement, previous: fleet.Placement, include_running: bool
) -> bool:
    if include_running and current.running != previous.running:
        return True
    return [_model_state(model) for model in current.models] != [
        _model_state(model) for model in previous.models
    ]


def _model_state(model: fleet.PlacedModel) -> tuple[str, str, tuple[str, ...]]:
    return model.name, model.state, tuple(model.adapters)


def placement_message(engine: engines.Engine, now: float) -> fleet.Placement:
    """Returns the placement of an engine for gateways."""
    return fleet.Placement(
        target=engine.target,
        incarnation=engine.registration.incarnation,
        running=sum(engine.running_by_model.values()),
        models=[
            fleet.PlacedModel(
                name=name,
                state=replica.state,
                ready_in_ms=durations.to_ms(replica.ready_at - now)
                if replica.state == engines.LOADING
                else 0,
                adapters=sorted(replica.adapters),
            )
            for name, replica in engine.replicas.items()
        ],
    )
