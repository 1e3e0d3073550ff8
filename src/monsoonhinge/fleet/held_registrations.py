"""Registrations that wait for a configuration that names their service.

An announcement may come from another writer, or before the configuration that
adds its service. It must not displace targets that are in use: until a
configuration names the service, nothing else in the registry changes.
"""

from collections.abc import Collection
import dataclasses

from monsoonhinge.fleet import registry
from monsoonhinge.protocol import fleet

# Bounds the memory that announcements of any name can take.
_MAX_HELD = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRegistration:
    """A registration that is not in the registry yet.

    Attributes:
        registration: Latest registration of its target.
        from_target: Whether the target sent it to this member, and not another
            member.
    """

    registration: fleet.Registration
    from_target: bool


class HeldRegistrations:
    """Holds registrations back while no configuration names their service.

    Attributes:
        services: Services that the configuration in effect names.
    """

    def __init__(self) -> None:
        self.services: Collection[str] = frozenset()
        self._held: dict[str, HeldRegistration] = {}

    def must_hold(
        self,
        registration: fleet.Registration,
        known: fleet.Registration | None,
    ) -> bool:
        """Returns whether a registration may not be applied now.

        Args:
            registration: The registration.
            known: Registration of the same target in the registry, if any. It
                is still updated after its service left the configuration.
        """
        if registration.service in self.services:
            return False
        return (
            known is None
            or known.service != registration.service
            or known.incarnation != registration.incarnation
        )

    def hold(
        self, registration: fleet.Registration, *, from_target: bool
    ) -> bool:
        """Holds a registration back; returns whether its target is new here."""
        target = registration.target
        held = self._held.pop(target, None)
        if held is not None and _precedes(held.registration, registration):
            self._held[target] = held
            return False
        self._held[target] = HeldRegistration(registration, from_target)
        if len(self._held) > _MAX_HELD:
            del self._held[next(iter(self._held))]
        return held is None

    def deregister(self, target: str) -> None:
        """Records that a target whose registration is held has left."""
        held = self._held.get(target)
        if held is not None:
            gone = dataclasses.replace(held.registration, state=registry.GONE)
            self._held[target] = HeldRegistration(gone, held.from_target)

    def release(self, services: Collection[str]) -> list[HeldRegistration]:
        """Applies a new configuration.

        Args:
            services: Services that it names.

        Returns:
            Registrations that no longer have to be held back.
        """
        self.services = frozenset(services)
        released = [
            held
            for held in self._held.values()
            if held.registration.service in self.services
        ]
        for held in released:
            del self._held[held.registration.target]
        return released


def _precedes(known: fleet.Registration, other: fleet.Registration) -> bool:
    """Returns whether a registration stays in spite of another one."""
    if known.incarnation != other.incarnation:
        return known.incarnation > other.incarnation
    return known.state == registry.GONE or known.sequence > other.sequence
