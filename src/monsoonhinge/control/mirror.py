"""Local copy of the configuration at a subscriber; performs no I/O."""

import dataclasses

import pydantic

from monsoonhinge.config import pack
from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

ConfigUpdate = messages.ConfigSnapshot | messages.ConfigDelta

# Limits the deltas that are queued until all parts of a snapshot have arrived.
_MAX_QUEUED_DELTAS = 100


@dataclasses.dataclass(slots=True)
class _PartialUpdate:
    """An update of which only some parts have arrived.

    Attributes:
        base: Version that a delta changes; None for a snapshot.
        version: Version that the update puts in effect.
        parts: Number of its parts.
        next_part: Number of the part that is expected next.
        objects: Objects of the parts that have arrived.
        deletes: Ids that these parts delete.
    """

    base: int | None
    version: int
    parts: int
    next_part: int = 0
    objects: list[bytes] = dataclasses.field(default_factory=list)
    deletes: list[str] = dataclasses.field(default_factory=list)

    def describes(self, message: ConfigUpdate) -> bool:
        """Returns whether a message is a part of this update."""
        return (self.base, self.version, self.parts) == (
            _base(message),
            message.version,
            message.parts,
        )


class Mirror:
    """Applies configuration snapshots and deltas in order.

    Attributes:
        view: Configuration in effect. Its version never decreases.
        parts_received: Number of parts of updates received in order.
    """

    def __init__(self) -> None:
        self.view = config_view.View()
        self.parts_received = 0
        self._partial_update: _PartialUpdate | None = None
        self._queued_deltas: list[messages.ConfigDelta] = []

    def discard_partial(self) -> None:
        """Discards a partial update and the deltas queued behind it."""
        self._partial_update = None
        self._queued_deltas = []

    def receive(self, message: ConfigUpdate) -> bool:
        """Handles a message of the current subscription.

        Returns:
            Whether a new version has taken effect.

        Raises:
            errors.ProtocolError: Messages are missing, out of order or
                invalid. The configuration in effect is unchanged, and a new
                subscription is required.
        """
        before = self.view.version
        try:
            if (
                isinstance(message, messages.ConfigSnapshot)
                or message.parts > 1
            ):
                self._receive_part(message)
            elif self._partial_update is not None:
                self._queue_delta(message)
            else:
                self._apply(message)
        except errors.ProtocolError:
            self.discard_partial()
            raise
        except pydantic.ValidationError as error:
            self.discard_partial()
            raise errors.ProtocolError(
                f"invalid object: {error.errors()[0]['msg']}",
                step="apply configuration",
            ) from None
        return self.view.version > before

    def _receive_part(self, message: ConfigUpdate) -> None:
        if message.part == 0:
            self.discard_partial()
            self._partial_update = _PartialUpdate(
                base=_base(message),
                version=message.version,
                parts=message.parts,
            )
        update = self._partial_update
        if update is None or not update.describes(message):
            raise _subscription_error(
                f"received part {message.part} of another update"
            )
        if message.part < update.next_part:
            return
        if message.part > update.next_part:
            raise _subscription_error(
                f"received part {message.part} of an update instead of part "
                f"{update.next_part}"
            )
        update.objects += _objects(message)
        if isinstance(message, messages.ConfigDelta):
            update.deletes += message.deletes
        update.next_part += 1
        self.parts_received += 1
        if update.next_part < update.parts:
            return
        queued_deltas = self._queued_deltas
        self.discard_partial()
        self._install_update(update)
        for delta in queued_deltas:
            self._apply(delta)

    def _install_update(self, update: _PartialUpdate) -> None:
        if update.version <= self.view.version:
            return
        if update.base is None:
            self._install(update.version, update.objects, None)
            return
        self._check_base(update.base)
        self._install(update.version, update.objects, update.deletes)

    def _queue_delta(self, message: messages.ConfigDelta) -> None:
        if len(self._queued_deltas) >= _MAX_QUEUED_DELTAS:
            raise _subscription_error(
                "too many deltas between the parts of a snapshot"
            )
        self._queued_deltas.append(message)

    def _apply(self, message: messages.ConfigDelta) -> None:
        if message.version <= self.view.version:
            return
        self._check_base(message.base)
        self._install(message.version, _objects(message), message.deletes)

    def _check_base(self, base: int) -> None:
        if base != self.view.version:
            raise _subscription_error(
                f"received a delta from version {base}, but version "
                f"{self.view.version} is in effect"
            )

    def _install(
        self, version: int, objects: list[bytes], deletes: list[str] | None
    ) -> None:
        """Puts a version in effect.

        Args:
            version: The version.
            objects: All objects of the version, or the changed ones if
                ``deletes`` is given.
            deletes: Ids of removed objects, or None for a full snapshot.
        """
        items = [schema.parse_json(data) for data in objects]
        base = config_view.View() if deletes is None else self.view
        self.view = base.with_changes(
            version=version, upserts=items, deletes=deletes or ()
        )


def _base(message: ConfigUpdate) -> int | None:
    """Returns the version that a delta changes, or None for a snapshot."""
    return message.base if isinstance(message, messages.ConfigDelta) else None


def _objects(message: ConfigUpdate) -> list[bytes]:
    """Returns the encoded objects of a message.

    Raises:
        errors.ProtocolError: They are malformed.
    """
    if message.packed:
        try:
            return pack.unpack(message.packed)
        except ValueError as error:
            raise _subscription_error(str(error)) from error
    if isinstance(message, messages.ConfigSnapshot):
        return message.objects
    return message.upserts


def _subscription_error(reason: str) -> errors.ProtocolError:
    return errors.ProtocolError(reason, step="apply configuration")
