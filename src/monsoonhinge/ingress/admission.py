"""Authentication and routing of requests; performs no I/O."""

import dataclasses
import random

from monsoonhinge.config import ingress as objects
from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.control import config_freshness
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import refusal

# By then a member that lags has been replaced, or an update has arrived.
_STALE_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Result of admitting a request.

    Attributes:
        route: Route that matches host and path.
        service: Service to which the request is sent.
        team: Team of the caller, or None if no key is required.
        key_hash: Hash of the caller's key, or "".
        priority: Priority, 0 is served first.
        tokens: Tokens that the team is charged.
        freshness: Version and age of the configuration that was applied.
        software_version: Version of the software that began the stream; None
            if any may serve the request.
    """

    route: objects.IngressRoute
    service: objects.IngressService
    team: schema.Team | None
    key_hash: str
    priority: int
    tokens: int
    freshness: config_freshness.Freshness
    software_version: str | None = None

    @property
    def retryable(self) -> bool:
        """Whether the request may be sent again after it may have run."""
        return self.route.execution == "idempotent" or (
            self.route.execution == "streaming" and self.route.resumable
        )

    def requirements(
        self, parsed: dialect.ParsedRequest
    ) -> load_balancer.Requirements:
        """Returns the model, adapter and session that a target must match."""
        if self.service.engine is None or not parsed.model:
            return load_balancer.Requirements(
                service=self.service.name,
                software_version=self.software_version,
            )
        return load_balancer.Requirements(
            service=self.service.name,
            model=parsed.model,
            adapter=parsed.adapter,
            session=parsed.prompt[-1].part_id if parsed.prompt else "",
            software_version=self.software_version,
        )


class Admission:
    """Checks the route, the caller key and the age of the configuration.

    A change may be in effect elsewhere for ``config_deadline_s`` before it has
    to be in effect here. A configuration that is older than that neither
    denies a request for good nor, if a newer one is known, admits it. Without
    a known newer one it goes on admitting requests: a gateway that has lost
    the control members serves until ``max_staleness_s`` has passed.

    Attributes:
        key_secret: Secret with which caller keys are hashed.
        max_staleness_s: Maximum age of a configuration against which keys
            are checked.
        config_deadline_s: Time in which a change has to be in effect.
        rng: Random number generator for the weighted choice between the
            services of a route.
    """

    def __init__(
        self,
        *,
        key_secret: bytes,
        max_staleness_s: float,
        config_deadline_s: float,
        rng: random.Random,
    ) -> None:
        self.key_secret = key_secret
        self.max_staleness_s = max_staleness_s
        self.config_deadline_s = config_deadline_s
        self.rng = rng

    def admit(
        self,
        parsed: dialect.ParsedRequest,
        *,
        view: config_view.View,
        freshness: config_freshness.Freshness,
    ) -> AdmittedRequest:
        """Returns the route, team and cost of a request.

        Raises:
            refusal.Refusal: The request is not admitted.
        """
        if not view.version:
            raise refusal.Refusal(
                refusal.Reason.NO_CONFIGURATION, retry_after_s=0.5, step="admit"
            )
        if freshness.is_behind and not self._is_current(freshness):
            raise _stale_refusal()
        route = view.ingress_route(host=parsed.host, path=parsed.path)
        if route is None:
            raise self.denial(refusal.Reason.UNKNOWN_ROUTE, freshness)
        team, key_hash = None, ""
        if view.ingress_limits.keys_required and not route.public:
            team, key_hash = self._authenticate(parsed, view, freshness)
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        return AdmittedRequest(
            route=route,
            service=self._choose_service(route, view),
            team=team,
            key_hash=key_hash,
            priority=priority,
            tokens=_token_cost(parsed, team),
            freshness=freshness,
        )

    def denial(
        self,
        reason: refusal.Reason,
        freshness: config_freshness.Freshness,
    ) -> refusal.Refusal:
        """Returns the refusal of a request that the configuration denies.

        Callers do not repeat a request that is denied, so that an outdated
        configuration does not suffice.

        Args:
            reason: Why the configuration in effect denies it.
            freshness: Age of that configuration.
        """
        if not self._is_current(freshness):
            return _stale_refusal()
        return refusal.Refusal(reason, step="admit")

    def still_authorized(
        self,
        admitted: AdmittedRequest,
        *,
        view: config_view.View,
        staleness_s: float,
    ) -> bool:
        """Returns whether the key of an admitted request is still valid."""
        if not admitted.key_hash:
            return True
        return (
            admitted.key_hash in view.keys_by_hash
            and staleness_s <= self.max_staleness_s
        )

    def _authenticate(
        self,
        parsed: dialect.ParsedRequest,
        view: config_view.View,
        freshness: config_freshness.Freshness,
    ) -> tuple[schema.Team, str]:
        if freshness.staleness_s > self.max_staleness_s:
            raise _stale_refusal()
        key_hash = config_view.key_hash(
            secret=self.key_secret, key=parsed.key or ""
        )
        key = view.keys_by_hash.get(key_hash)
        if parsed.key is None or key is None:
            raise self.denial(refusal.Reason.INVALID_KEY, freshness)
        return view.teams[key.team], key_hash

    def _is_current(self, freshness: config_freshness.Freshness) -> bool:
        """Returns whether all changes that have to be in effect are."""
        return freshness.staleness_s <= self.config_deadline_s

    def _choose_service(
        self, route: objects.IngressRoute, view: config_view.View
    ) -> objects.IngressService:
        backends = route.backends
        name = backends[0].service
        if len(backends) > 1:
            weights = [backend.weight for backend in backends]
            name = self.rng.choices(backends, weights)[0].service
        return view.ingress_services[name]


def _stale_refusal() -> refusal.Refusal:
    return refusal.Refusal(
        refusal.Reason.STALE_CONFIGURATION,
        retry_after_s=_STALE_RETRY_AFTER_S,
        step="admit",
    )


def _token_cost(parsed: dialect.ParsedRequest, team: schema.Team | None) -> int:
    if team is None or team.unlimited:
        return 0
    if team.charged_by == "requests":
        return 1
    return team.call_tokens if parsed.tokens is None else sum(parsed.tokens)
