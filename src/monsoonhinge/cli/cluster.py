"""Commands for the control cluster: status and member."""

from collections.abc import Mapping
import dataclasses
from typing import Annotated, Any

import cappa
import pydantic

from monsoonhinge.cli import control_client
from monsoonhinge.cli import options
from monsoonhinge.cli import outcome
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

# Error code of a membership change that the leader refuses in the current state
# of the cluster.
_CHANGE_REFUSED_CODE = "change_refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Subscriber:
    """A live subscriber of the configuration, as reported by the leader.

    Attributes:
        version: Version of the configuration in effect at the subscriber.
        role: Role of its process, such as ``gateway``.
    """

    version: int
    role: str = ""


def live_subscribers(status: Mapping[str, Any]) -> dict[str, Subscriber]:
    """Returns the live subscribers by session, except operator commands."""
    return {
        name: Subscriber(version=entry["version"], role=entry.get("role", ""))
        for name, entry in status.get("subscribers", {}).items()
        if not name.startswith(control_client.OPERATOR_NODE_PREFIX)
    }


@cappa.command(name="status", help="Shows members and subscribers")
@dataclasses.dataclass
class Status(options.ControlCommand):
    """Shows the leader, the members and the subscribers."""

    async def run(self) -> None:
        """Prints the status as reported by the leader."""
        async with control_client.connect(self.read_settings()) as control:
            status = await control.read("status", timeout=self.timeout)
        lines = [
            f"leader   {status.get('leader', '')}",
            f"version  {status.get('version', '')}",
            "",
            outcome.format_table(
                ["MEMBER", "ADDRESS", "VOTER"], _member_rows(status)
            ),
            "",
            outcome.format_table(
                ["SUBSCRIBER", "ROLE", "VERSION"],
                [
                    (name, entry.role, entry.version)
                    for name, entry in sorted(live_subscribers(status).items())
                ],
            ),
        ]
        outcome.print_result(status, as_json=self.json, text="\n".join(lines))


@cappa.command(name="add", help="Adds a control member")
@dataclasses.dataclass
class Add(options.ControlCommand):
    """Adds a control member, first as a learner."""

    name: Annotated[str, cappa.Arg(help="Name of the member")]
    address: Annotated[
        str,
        cappa.Arg(value_name="HOST:PORT", help="Listen address of the member"),
    ]

    async def run(self) -> None:
        """Sends the change and waits until the member has caught up."""
        address = parse_address(self.address)
        await _change_membership(
            self,
            messages.AddMember(
                name=self.name, host=address.host, port=address.port
            ),
            f"member {self.name} is added",
        )


@cappa.command(name="remove", help="Removes a control member")
@dataclasses.dataclass
class Remove(options.ControlCommand):
    """Removes a control member."""

    name: Annotated[str, cappa.Arg(help="Name of the member")]
    force: Annotated[
        bool,
        cappa.Arg(
            long=True, help="Remove it even if too few live voters remain"
        ),
    ] = False

    async def run(self) -> None:
        """Sends the change and waits for the reply."""
        await _change_membership(
            self,
            messages.RemoveMember(name=self.name, force=self.force),
            f"member {self.name} is removed",
        )


@cappa.command(name="member", help="Adds and removes control members")
@dataclasses.dataclass
class MemberGroup:
    """Command group for membership changes."""

    command: cappa.Subcommands[Add | Remove]


def parse_address(text: str) -> settings.Address:
    """Parses ``host:port``; an IPv6 address is in brackets.

    Raises:
        outcome.CommandError: The text is not a valid address.
    """
    host, _, port = text.rpartition(":")
    try:
        return settings.Address(host=host.strip("[]"), port=int(port))
    except (ValueError, pydantic.ValidationError) as error:
        raise outcome.CommandError(
            outcome.EXIT_BAD_INPUT,
            [f"invalid address {text!r}: expected an IP address and a port"],
        ) from error


def _member_rows(status: Mapping[str, Any]) -> list[tuple[str, str, str]]:
    return [
        (
            str(member.get("name") or member.get("id", "")),
            str(member.get("address", "")),
            "yes" if member.get("voter") else "no",
        )
        for member in status.get("members", [])
        if isinstance(member, dict)
    ]


async def _change_membership(
    command: options.ControlCommand,
    message: messages.AddMember | messages.RemoveMember,
    text: str,
) -> None:
    async with control_client.connect(command.read_settings()) as control:
        try:
            await control.request(
                message,
                messages.Ack,
                timeout=command.timeout,
                # The leader replies only after a new member has caught up,
                # so one attempt may take the whole timeout.
                attempt_timeout=command.timeout,
            )
        except errors.RequestTimeout as error:
            raise outcome.CommandError(
                outcome.EXIT_UNKNOWN,
                [f"{error}", "outcome unknown; running it again is safe"],
            ) from error
        except errors.RemoteError as error:
            conflict = error.code == _CHANGE_REFUSED_CODE
            raise outcome.CommandError(
                outcome.EXIT_CONFLICT if conflict else outcome.EXIT_FAILED,
                [str(error)],
                {"code": error.code},
            ) from error
    outcome.print_result(
        {"member": message.name}, as_json=command.json, text=text
    )
