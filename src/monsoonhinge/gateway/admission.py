"""Authentication of callers and authorization for routes."""

import dataclasses

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.gateway import refusal

_BEARER = "bearer "


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that may run.

    Attributes:
        team: Team that it is charged to.
        key: Name of the caller's key, or "" on an open route.
        key_hash: Hash of that key, or "".
        route: Route that it uses.
    """

    team: str
    key: str
    key_hash: str
    route: schema.Route


class Admission:
    """Admits requests by their key and route.

    Attributes:
        key_secret: HMAC secret for the hashes of caller keys.
        max_staleness_s: Largest age of the configuration for new requests.
    """

    def __init__(self, *, key_secret: bytes, max_staleness_s: float) -> None:
        self.key_secret = key_secret
        self.max_staleness_s = max_staleness_s

    def admit(
        self,
        *,
        view: config_view.View,
        staleness_s: float,
        route: str,
        authorization: str | None,
    ) -> AdmittedRequest:
        """Returns the admitted request.

        Args:
            view: Configuration in effect.
            staleness_s: Seconds since the configuration was last confirmed.
            route: Name of the route.
            authorization: Value of the Authorization header.

        Raises:
            refusal.Refusal: The request may not run.
        """
        if staleness_s > self.max_staleness_s:
            raise refusal.Refusal(
                "the configuration cannot be confirmed at the moment",
                status=503,
                code="stale_configuration",
                retry_after_s=1,
                step="admit",
            )
        key = self.find_key(view, authorization)
        matched_route = view.routes.get(route)
        if matched_route is None:
            raise refusal.Refusal(
                f"there is no route {route!r}",
                status=404,
                code="unknown_route",
                step="admit",
            )
        if key is not None and key.team in matched_route.teams:
            return AdmittedRequest(
                team=key.team,
                key=key.name,
                key_hash=key.hash,
                route=matched_route,
            )
        if matched_route.open_team is not None:
            return AdmittedRequest(
                team=matched_route.open_team,
                key="",
                key_hash="",
                route=matched_route,
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

    def find_key(
        self, view: config_view.View, authorization: str | None
    ) -> schema.Key | None:
        """Returns the key of a request, or None without a header.

        Raises:
            refusal.Refusal: The header is malformed, or the key is unknown or
                withdrawn.
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
    """Returns the refusal for an unknown or withdrawn key."""
    return refusal.Refusal(
        "the key is not valid", status=401, code="invalid_key", step="admit"
    )
