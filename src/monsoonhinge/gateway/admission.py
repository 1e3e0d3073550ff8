"""Who may use which route."""

import dataclasses

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.gateway import refusal

_BEARER = "bearer "


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may run.

    Attributes:
        team: Team as which it runs.
        key: Name of the caller's key, or "" on an open route.
        key_hash: Hash of that key, or "".
        route: Route it uses.
    """

    team: str
    key: str
    key_hash: str
    route: schema.Route


class Admission:
    """Checks keys, routes and freshness.

    Attributes:
        key_secret: Secret under which caller keys are hashed.
        max_staleness_s: Oldest configuration that new requests may rely on.
    """

    def __init__(self, *, key_secret: bytes, max_staleness_s: float) -> None:
        self.key_secret = key_secret
        self.max_staleness_s = max_staleness_s

    def admit(
        self,
        *,
        view: config_view.View,
        staleness: float,
        route: str,
        authorization: str | None,
    ) -> Admitted:
        """Decides whether a request may run now.

        Args:
            view: Configuration in effect.
            staleness: Age of that knowledge in seconds.
            route: Name of the route.
            authorization: Value of the Authorization header.

        Raises:
            refusal.Refusal: The request may not run.
        """
        if staleness > self.max_staleness_s:
            raise refusal.Refusal(
                "the configuration cannot be confirmed at the moment",
                status=503,
                code="stale_configuration",
                retry_after_s=1,
                step="admit",
            )
        key = self.key_of(view, authorization)
        found = view.routes.get(route)
        if found is None:
            raise refusal.Refusal(
                f"there is no route {route!r}",
                status=404,
                code="unknown_route",
                step="admit",
            )
        if key is not None and key.team in found.teams:
            return Admitted(
                team=key.team, key=key.name, key_hash=key.hash, route=found
            )
        if found.open_team is not None:
            return Admitted(
                team=found.open_team, key="", key_hash="", route=found
            )
        if key is None:
            raise refusal.Refusal(
                "this route needs a key",
                status=401,
                code="key_required",
                step="admit",
            )
        raise refusal.Refusal(
            f"the key's team may not use route {route!r}",
            status=403,
            code="route_not_allowed",
            step="admit",
        )

    def key_of(
        self, view: config_view.View, authorization: str | None
    ) -> schema.Key | None:
        """Returns the key of a request, or None if it carries none.

        Raises:
            refusal.Refusal: The key is unknown or withdrawn.
        """
        if authorization is None:
            return None
        if authorization[: len(_BEARER)].lower() != _BEARER:
            raise refusal.Refusal(
                "Authorization must be 'Bearer KEY'",
                status=401,
                code="invalid_key",
                step="admit",
            )
        key = view.keys_by_hash.get(
            config_view.key_hash(
                secret=self.key_secret,
                key=authorization[len(_BEARER) :].strip(),
            )
        )
        if key is None:
            raise invalid_key()
        return key


def invalid_key() -> refusal.Refusal:
    """Returns the refusal of a key that is unknown or withdrawn."""
    return refusal.Refusal(
        "the key is not valid", status=401, code="invalid_key", step="admit"
    )
