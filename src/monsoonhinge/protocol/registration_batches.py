"""Registrations in messages of a bounded size."""

from collections.abc import Iterator, Sequence

from monsoonhinge.protocol import fleet

# Size of the body of an announcement. It grows by a factor of 6 at most as a
# registration, so that a batch stays below the largest frame.
MAX_ANNOUNCEMENT_BYTES = 64 * 1024
MAX_BATCH_REGISTRATIONS = 16


def split(
    registrations: Sequence[fleet.Registration],
    *,
    subscribers: int = 0,
    members: Sequence[str] = (),
) -> Iterator[fleet.Registrations]:
    """Yields messages with all registrations; at least one.

    Args:
        registrations: The registrations.
        subscribers: Number of gateways connected to the sender.
        members: Names of the control members that the sender knows.
    """
    for start in range(0, max(1, len(registrations)), MAX_BATCH_REGISTRATIONS):
        yield fleet.Registrations(
            registrations=list(
                registrations[start : start + MAX_BATCH_REGISTRATIONS]
            ),
            subscribers=subscribers,
            members=list(members),
        )
