"""Command that shows why a model is loaded or not.

It uses the state of the control members.
"""

import asyncio
import dataclasses
from typing import Annotated, Any

import cappa

from monsoonhinge.cli import operations
from monsoonhinge.cli import options
from monsoonhinge.cli import outcome


@cappa.command(name="why", help="Shows why a model is loaded or not")
@dataclasses.dataclass
class Why(options.BaseCommand):
    """Shows the demand for a model and its state on each engine."""

    model: Annotated[
        str, cappa.Arg(value_name="MODEL", help="Name of the model")
    ]
    addresses: Annotated[
        list[str],
        cappa.Arg(
            value_name="HOST:PORT",
            num_args=-1,
            help="Operations addresses of the control members",
        ),
    ]

    async def run(self) -> None:
        """Prints what the holder of the fleet lease knows about the model."""
        address, placement = await self._find_placement()
        document = describe_model(self.model, placement) | {"member": address}
        outcome.print_result(
            document, as_json=self.json, text=_format_description(document)
        )

    async def _find_placement(self) -> tuple[str, dict[str, Any]]:
        """Returns the address and placement state of the fleet lease holder."""
        if not self.addresses:
            raise outcome.CommandError(
                outcome.EXIT_BAD_INPUT,
                ["pass the operations address of a control member"],
            )
        results = await asyncio.gather(
            *(operations.fetch_state(address) for address in self.addresses),
            return_exceptions=True,
        )
        problems = []
        placements: dict[str, dict[str, Any]] = {}
        for address, state in zip(self.addresses, results, strict=True):
            if isinstance(state, outcome.CommandError):
                problems += state.problems
            elif isinstance(state, BaseException):
                raise state
            elif placement := state.get("placement"):
                placements[address] = placement
            else:
                problems.append(f"{address}: does not place models")
        if not placements:
            raise outcome.CommandError(outcome.EXIT_FAILED, problems)
        # A member that has not yet noticed the loss of the fleet lease reports
        # a lower fencing token.
        latest = max(
            placements, key=lambda name: int(placements[name]["fencing"])
        )
        return latest, placements[latest]


def describe_model(model: str, placement: dict[str, Any]) -> dict[str, Any]:
    """Returns why a model is loaded or not, and its state on each engine.

    Args:
        model: Name of the model.
        placement: Placement state of the fleet lease holder.
    """
    engines = placement["engines"]
    demand = placement["needs"].get(model, {"waiting": 0, "rate": 0.0})
    states = {
        target: _describe_engine(model, engine)
        for target, engine in engines.items()
    }
    return {
        "model": model,
        "fencing": placement["fencing"],
        "waiting": demand["waiting"],
        "rate": demand["rate"],
        "verdict": _verdict(demand, list(states.values()), engines),
        "engines": states,
    }


def _describe_engine(model: str, engine: dict[str, Any]) -> str:
    replica = engine["held"].get(model)
    if replica is not None:
        text = f"{replica['state']} for {replica['for_s']:.1f} s"
        if replica["ready_in_s"]:
            text += f", ready in {replica['ready_in_s']:.1f} s"
        if replica["running"]:
            text += f", {replica['running']} running"
        return text
    cached_copy = "no copy"
    if model in engine["in_memory"]:
        cached_copy = "copy in host memory"
    elif model in engine["on_disk"]:
        cached_copy = "copy on disk"
    return f"{cached_copy}; {_describe_condition(engine)}"


def _describe_condition(engine: dict[str, Any]) -> str:
    if engine["unreachable"]:
        return "unreachable"
    if not engine["known"]:
        return "its state is not known yet"
    if engine["swapping"]:
        return "swaps another model"
    if engine["retry_in_s"]:
        return f"tried again in {engine['retry_in_s']:.1f} s"
    busy = [
        name for name, replica in engine["held"].items() if replica["running"]
    ]
    return f"idle, {len(busy)} of {len(engine['held'])} models in use"


def _verdict(
    demand: dict[str, Any], states: list[str], engines: dict[str, Any]
) -> str:
    for replica_state in ("loaded", "loading", "retiring", "unloading"):
        count = sum(state.startswith(f"{replica_state} ") for state in states)
        if count:
            return f"{replica_state} on {count} of {len(states)} engines"
    if not engines:
        return "not loaded: no engine is known"
    if not demand["waiting"]:
        return "not loaded: no request waits for it"
    if not any("; idle" in state for state in states):
        return "not loaded: no engine is free"
    if all(state.startswith("no copy") for state in states):
        return "not loaded: only the weight store has it"
    return "not loaded: a load is due"


def _format_description(document: dict[str, Any]) -> str:
    rows = [[target, text] for target, text in document["engines"].items()]
    return "\n".join(
        [
            f"{document['model']}: {document['verdict']}",
            f"{document['waiting']} waiting, {document['rate']} requests/s; "
            f"placed by {document['member']} under {document['fencing']}",
            outcome.format_table(["engine", "state"], rows),
        ]
    )
