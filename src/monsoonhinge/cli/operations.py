"""Commands on one process: dump and drain."""

import dataclasses
import json
from typing import Annotated, Any

import aiohttp
import cappa

from monsoonhinge.cli import cluster
from monsoonhinge.cli import options
from monsoonhinge.cli import outcome

Address = Annotated[
    str, cappa.Arg(value_name="HOST:PORT", help="Its operations address")
]

_TIMEOUT_S = 10.0


@cappa.command(name="dump", help="Shows the state of a process")
@dataclasses.dataclass
class Dump(options.BaseCommand):
    """Shows the state of a process as JSON."""

    address: Address

    async def run(self) -> None:
        """Prints the state."""
        state = await fetch_state(self.address)
        outcome.print_result(
            state, as_json=self.json, text=json.dumps(state, indent=2)
        )


@cappa.command(name="drain", help="Stops a process gracefully")
@dataclasses.dataclass
class Drain(options.BaseCommand):
    """Asks a process to stop gracefully."""

    address: Address

    async def run(self) -> None:
        """Begins the stop; a repeated request changes nothing."""
        await _request("POST", self.address, "/drain")
        outcome.print_result(
            {"address": self.address, "draining": True},
            as_json=self.json,
            text=f"{self.address} is draining",
        )


async def fetch_state(address: str) -> Any:
    """Returns the state of a process.

    Raises:
        outcome.Failure: It did not answer with one.
    """
    text = await _request("GET", address, "/debug/state")
    try:
        return json.loads(text)
    except ValueError as error:
        raise outcome.CommandError(
            outcome.EXIT_FAILED, [f"{address}: answer is not JSON"]
        ) from error


async def _request(method: str, address: str, path: str) -> str:
    parsed = cluster.parse_address(address)
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            http.request(method, f"http://{parsed}{path}") as response,
        ):
            body = await response.read()
            if response.status >= 300:
                raise outcome.CommandError(
                    outcome.EXIT_FAILED,
                    [f"{address}: answered with status {response.status}"],
                )
            return body.decode(errors="replace")
    except TimeoutError as error:
        raise outcome.CommandError(
            outcome.EXIT_UNKNOWN,
            [f"{address}: no answer within {_TIMEOUT_S:.0f} s"],
        ) from error
    except aiohttp.ClientError as error:
        raise outcome.CommandError(
            outcome.EXIT_FAILED, [f"{address}: {error}"]
        ) from error
