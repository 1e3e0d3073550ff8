"""Helpers shared by the tests of real control processes."""

from monsoonhinge.control import client as control_client
from monsoonhinge.protocol import connection
from monsoonhinge.runtime import settings


def client(config: settings.Control, *, role: str) -> control_client.Client:
    """Returns a client of a cluster, with the session name ``test/7``."""
    return control_client.Client(
        members=config.members,
        identity=connection.Identity(
            node="test",
            role=role,
            incarnation=7,
            secret=config.cluster_secret.encode(),
        ),
    )
