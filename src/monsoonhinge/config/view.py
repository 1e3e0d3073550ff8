"""Read-only configuration with indexes for the request path."""

from collections.abc import Iterable, Mapping
import dataclasses
import functools
import hmac
from typing import TypeVar

from monsoonhinge.config import base
from monsoonhinge.config import ingress
from monsoonhinge.config import schema

_Object = TypeVar("_Object", bound=base.NamedObject)

# Attribute of View that is the cached index of each kind of object.
_INDEX_BY_KIND = {
    "model": "models",
    "adapter": "adapters",
    "team": "teams",
    "route": "routes",
    "service": "services",
    "key": "keys_by_hash",
    "store": "store",
    "policy": "policy",
    "ingress_route": "ingress_routes",
    "ingress_service": "ingress_services",
    "ingress_limits": "ingress_limits",
}

_DEFAULT_STORE = schema.Store(name="default", loads_per_s=4.0)
_DEFAULT_POLICY = schema.Policy(name="default")
_DEFAULT_LIMITS = ingress.IngressLimits(name="default")


@dataclasses.dataclass(frozen=True)
class View:
    """An immutable configuration at one version, with cached indexes.

    Attributes:
        version: Version; 0 before the first publication.
        objects: Objects by ``kind/name``.
    """

    version: int = 0
    objects: Mapping[str, schema.AnyObject] = dataclasses.field(
        default_factory=dict
    )

    @functools.cached_property
    def models(self) -> dict[str, schema.Model]:
        """Models by name."""
        return self._by_name(schema.Model)

    @functools.cached_property
    def adapters(self) -> dict[str, schema.Adapter]:
        """Adapters by name."""
        return self._by_name(schema.Adapter)

    @functools.cached_property
    def teams(self) -> dict[str, schema.Team]:
        """Teams by name."""
        return self._by_name(schema.Team)

    @functools.cached_property
    def routes(self) -> dict[str, schema.Route]:
        """Routes by name."""
        return self._by_name(schema.Route)

    @functools.cached_property
    def services(self) -> dict[str, schema.Service]:
        """Services by name."""
        return self._by_name(schema.Service)

    @functools.cached_property
    def keys_by_hash(self) -> dict[str, schema.Key]:
        """Keys by keyed hash."""
        return {key.hash: key for key in self._by_name(schema.Key).values()}

    @functools.cached_property
    def store(self) -> schema.Store:
        """Limits of the weight store; defaults if there is no such object."""
        return next(iter(self._by_name(schema.Store).values()), _DEFAULT_STORE)

    @functools.cached_property
    def policy(self) -> schema.Policy:
        """Policy for idle replicas; defaults if there is no such object."""
        return next(
            iter(self._by_name(schema.Policy).values()), _DEFAULT_POLICY
        )

    @functools.cached_property
    def ingress_routes(self) -> dict[str, dict[str, ingress.IngressRoute]]:
        """Ingress routes by host, then by path prefix."""
        by_host: dict[str, dict[str, ingress.IngressRoute]] = {}
        for route in self._by_name(ingress.IngressRoute).values():
            by_host.setdefault(route.host, {})[route.path_prefix] = route
        return by_host

    @functools.cached_property
    def ingress_services(self) -> dict[str, ingress.IngressService]:
        """Ingress services by name."""
        return self._by_name(ingress.IngressService)

    @functools.cached_property
    def ingress_limits(self) -> ingress.IngressLimits:
        """Limits on callers' requests; defaults if there is no such object."""
        found = self._by_name(ingress.IngressLimits).values()
        return next(iter(found), _DEFAULT_LIMITS)

    def ingress_route(
        self, *, host: str, path: str
    ) -> ingress.IngressRoute | None:
        """Returns the route with the longest matching prefix of a path."""
        by_prefix = self.ingress_routes.get(host)
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = by_prefix.get(path[: end + 1])
            if found is not None:
                return found
        return None

    def route_model(self, route: schema.Route) -> tuple[str, str]:
        """Returns the names of the model and adapter of a route, "" if none."""
        if route.adapter is not None:
            return self.adapters[route.adapter].model, route.adapter
        return route.model or "", ""

    def with_changes(
        self,
        *,
        version: int,
        upserts: Iterable[schema.AnyObject],
        deletes: Iterable[str],
    ) -> "View":
        """Returns the configuration after a change.

        Indexes of kinds that the change does not touch are reused, since
        rebuilding all of them delays requests by 60 ms at 38,000 objects.

        Args:
            version: New version.
            upserts: New and changed objects.
            deletes: Ids of removed objects.
        """
        objects = dict(self.objects)
        kinds = set()
        for object_id in deletes:
            objects.pop(object_id, None)
            kinds.add(object_id.partition("/")[0])
        for item in upserts:
            objects[schema.object_id(item)] = item
            kinds.add(item.kind)
        result = View(version=version, objects=objects)
        for kind, index in _INDEX_BY_KIND.items():
            if kind not in kinds and index in self.__dict__:
                result.__dict__[index] = self.__dict__[index]
        return result

    def _by_name(self, cls: type[_Object]) -> dict[str, _Object]:
        return {
            item.name: item
            for item in self.objects.values()
            if isinstance(item, cls)
        }


def key_hash(*, secret: bytes, key: str) -> str:
    """Returns the HMAC-SHA256 of a caller key as hexadecimal text."""
    return hmac.digest(secret, key.encode(), "sha256").hex()
