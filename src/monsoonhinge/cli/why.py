"""Why a model is loaded or not, from the state of the control members."""

import asyncio
import dataclasses
from typing import Annotated, Any

import cappa

from monsoonhinge.cli import operations
from monsoonhinge.cli import options
from monsoonhinge.cli import outcome


@cappa.command(name="why", help="Shows why a model is loaded or not")
@dataclasses.dataclass
class Why(options.Output):
    """Shows who asks for a model, where it is and what its engines do.

    Attributes:
        model: Name of the model.
        addresses: Operations addresses of the control members.
    """

    model: Annotated[str, cappa.Arg(value_name="MODEL")]
    addresses: Annotated[
        list[str],
        cappa.Arg(
            value_name="HOST:PORT",
            num_args=-1,
            help="Operations addresses of the control members",
        ),
    ]

    async def run(self) -> None:
        """Prints what the member that places models knows."""
        member, placement = await self._placement()
        document = explain(self.model, placement) | {"member": member}
        outcome.show(document, as_json=self.json, text=_text(document))

    async def _placement(self) -> tuple[str, dict[str, Any]]:
        """Returns address and state of the member that places models."""
        if not self.addresses:
            raise outcome.Failure(
                outcome.EXIT_BAD_INPUT,
                ["give the operations address of a control member"],
            )
        found = await asyncio.gather(
            *(operations.state(address) for address in self.addresses),
            return_exceptions=True,
        )
        problems = []
        active: dict[str, dict[str, Any]] = {}
        for address, state in zip(self.addresses, found, strict=True):
            if isinstance(state, outcome.Failure):
                problems += state.problems
            elif isinstance(state, BaseException):
                raise state
            elif placement := state.get("placement"):
                active[address] = placement
            else:
                problems.append(f"{address}: does not place models")
        if not active:
            raise outcome.Failure(outcome.EXIT_FAILED, problems)
        # A member that lost its lease without notice has a lower number.
        newest = max(active, key=lambda name: int(active[name]["fencing"]))
        return newest, active[newest]


def explain(model: str, placement: dict[str, Any]) -> dict[str, Any]:
    """Returns a verdict on a model and what each engine has of it.

    Args:
        model: Name of the model.
        placement: State of the member that places models.
    """
    engines = placement["engines"]
    need = placement["needs"].get(model, {"waiting": 0, "rate": 0.0})
    states = {
        target: _state(model, engine) for target, engine in engines.items()
    }
    return {
        "model": model,
        "fencing": placement["fencing"],
        "waiting": need["waiting"],
        "rate": need["rate"],
        "verdict": _verdict(need, list(states.values()), engines),
        "engines": states,
    }


def _state(model: str, engine: dict[str, Any]) -> str:
    held = engine["held"].get(model)
    if held is not None:
        text = f"{held['state']} for {held['for_s']:.1f} s"
        if held["ready_in_s"]:
            text += f", ready in {held['ready_in_s']:.1f} s"
        if held["running"]:
            text += f", {held['running']} running"
        return text
    copy = "no copy"
    if model in engine["in_memory"]:
        copy = "copy in host memory"
    elif model in engine["on_disk"]:
        copy = "copy on disk"
    return f"{copy}; {_condition(engine)}"


def _condition(engine: dict[str, Any]) -> str:
    if engine["unreachable"]:
        return "unreachable"
    if not engine["known"]:
        return "its state is not known yet"
    if engine["swapping"]:
        return "swaps another model"
    if engine["retry_in_s"]:
        return f"tried again in {engine['retry_in_s']:.1f} s"
    busy = [name for name, held in engine["held"].items() if held["running"]]
    return f"idle, {len(busy)} of {len(engine['held'])} models in use"


def _verdict(
    need: dict[str, Any], states: list[str], engines: dict[str, Any]
) -> str:
    for word in ("loaded", "loading", "unloading"):
        count = sum(state.startswith(f"{word} ") for state in states)
        if count:
            return f"{word} on {count} of {len(states)} engines"
    if not engines:
        return "not loaded: no engine is known"
    if not need["waiting"]:
        return "not loaded: no request waits for it"
    if not any("; idle" in state for state in states):
        return "not loaded: no engine is free"
    if all(state.startswith("no copy") for state in states):
        return "not loaded: only the weight store has it"
    return "not loaded: a load is due"


def _text(document: dict[str, Any]) -> str:
    rows = [[target, text] for target, text in document["engines"].items()]
    return "\n".join(
        [
            f"{document['model']}: {document['verdict']}",
            f"{document['waiting']} waiting, {document['rate']} requests/s; "
            f"placed by {document['member']} under {document['fencing']}",
            outcome.table(["engine", "state"], rows),
        ]
    )
