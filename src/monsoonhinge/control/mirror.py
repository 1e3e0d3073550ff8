"""A subscriber's copy of the configuration, without any input or output."""

import dataclasses

import pydantic

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

Push = messages.ConfigSnapshot | messages.ConfigDelta

# Deltas that arrive between the parts of a snapshot wait for its end.
_MAX_WAITING_DELTAS = 100


@dataclasses.dataclass(slots=True)
class _Assembly:
    """A snapshot of which some parts have arrived."""

    version: int
    parts: int
    next_part: int
    objects: list[bytes]


class Mirror:
    """Installs snapshots and deltas in order.

    Attributes:
        view: Configuration in effect. Its version never decreases.
    """

    def __init__(self) -> None:
        self.view = config_view.View()
        self._assembly: _Assembly | None = None
        self._waiting: list[messages.ConfigDelta] = []

    def restart(self) -> None:
        """Forgets what an earlier subscription has sent in part."""
        self._assembly = None
        self._waiting = []

    def receive(self, message: Push) -> bool:
        """Takes one message of the subscription in effect.

        Returns:
            Whether a new version is in effect.

        Raises:
            errors.ProtocolError: Messages are missing, out of order or
                invalid; the subscription has to be made again. The
                configuration in effect is as it was.
        """
        before = self.view.version
        try:
            if isinstance(message, messages.ConfigSnapshot):
                self._receive_part(message)
            elif self._assembly is not None:
                self._hold(message)
            else:
                self._apply(message)
        except errors.ProtocolError:
            self.restart()
            raise
        except pydantic.ValidationError as error:
            self.restart()
            raise errors.ProtocolError(
                f"invalid object: {error.errors()[0]['msg']}",
                step="apply configuration",
            ) from None
        return self.view.version > before

    def _receive_part(self, message: messages.ConfigSnapshot) -> None:
        if message.part == 0:
            self.restart()
            self._assembly = _Assembly(message.version, message.parts, 0, [])
        assembly = self._assembly
        if assembly is None or (message.version, message.parts) != (
            assembly.version,
            assembly.parts,
        ):
            raise _out_of_order(f"part {message.part} of another snapshot")
        if message.part < assembly.next_part:
            return
        if message.part > assembly.next_part:
            raise _out_of_order(
                f"part {message.part} instead of {assembly.next_part}"
            )
        assembly.objects += message.objects
        assembly.next_part += 1
        if assembly.next_part < assembly.parts:
            return
        waiting = self._waiting
        self.restart()
        if assembly.version > self.view.version:
            self._install(assembly.version, assembly.objects, None)
        for delta in waiting:
            self._apply(delta)

    def _hold(self, message: messages.ConfigDelta) -> None:
        if len(self._waiting) >= _MAX_WAITING_DELTAS:
            raise _out_of_order("too many deltas before the end of a snapshot")
        self._waiting.append(message)

    def _apply(self, message: messages.ConfigDelta) -> None:
        if message.version <= self.view.version:
            return
        if message.base != self.view.version:
            raise _out_of_order(
                f"delta from {message.base}, have {self.view.version}"
            )
        self._install(message.version, message.upserts, message.deletes)

    def _install(
        self, version: int, objects: list[bytes], deletes: list[str] | None
    ) -> None:
        """Makes a version out of all objects, or of a change if deletes."""
        items = [schema.parse_json(data) for data in objects]
        base = config_view.View() if deletes is None else self.view
        self.view = base.with_changes(
            version=version, upserts=items, deletes=deletes or ()
        )


def _out_of_order(reason: str) -> errors.ProtocolError:
    return errors.ProtocolError(reason, step="apply configuration")
