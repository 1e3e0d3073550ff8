"""Commands for a single process: dump and drain."""

import dataclasses
import json
from typing import Annotated, Any

import aiohttp
import cappa

from monsoonhinge.cli import cluster
from monsoonhinge.cli import options
from monsoonhinge.cli import outcome
from monsoonhinge.targets import bounded_http
from monsoonhinge.targets import connections

Address = Annotated[
    str,
    cappa.Arg(value_name="HOST:PORT", help="Operations address of the process"),
]

_REQUEST_TIMEOUT_S = 10.0


@cappa.command(name="dump", help="Shows the state of a process")
@dataclasses.dataclass
class Dump(options.BaseCommand):
    """Shows the state of a process as JSON."""

    address: Address

    async def run(self) -> None:
        """Fetches and prints the state document."""
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
        """Starts draining; a process that already drains is not affected."""
        await _request("POST", self.address, "/drain")
        outcome.print_result(
            {"address": self.address, "draining": True},
            as_json=self.json,
            text=f"{self.address} is draining",
        )


async def fetch_state(address: str) -> Any:
    """Fetches the state document of a process.

    Raises:
        outcome.CommandError: The process is unreachable or its response is
            not JSON.
    """
    text = await _request("GET", address, "/debug/state")
    try:
        return json.loads(text)
    except ValueError as error:
        raise outcome.CommandError(
            outcome.EXIT_FAILED, [f"{address}: response is not JSON"]
        ) from error


async def _request(method: str, address: str, path: str) -> str:
    parsed = cluster.parse_address(address)
    try:
        async with (
            aiohttp.ClientSession(
                connector=connections.CleanConnector(),
                response_class=bounded_http.BoundedResponse,
                timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
            ) as http,
            http.request(method, f"http://{parsed}{path}") as response,
        ):
            body = await response.read()
            if response.status >= 300:
                raise outcome.CommandError(
                    outcome.EXIT_FAILED,
                    [f"{address}: responded with status {response.status}"],
                )
            return body.decode(errors="replace")
    except TimeoutError as error:
        raise outcome.CommandError(
            outcome.EXIT_UNKNOWN,
            [f"{address}: no response within {_REQUEST_TIMEOUT_S:.0f} s"],
        ) from error
    except aiohttp.ClientError as error:
        raise outcome.CommandError(
            outcome.EXIT_FAILED, [f"{address}: {error}"]
        ) from error
