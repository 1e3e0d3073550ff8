"""Indexed, read-only view of a configuration for the request path."""

from collections.abc import Mapping
import dataclasses
import functools
import hashlib
import hmac
from typing import TypeVar

from monsoonhinge.config import schema

_Object = TypeVar("_Object", bound=schema.Object)

_DEFAULT_STORE = schema.Store(name="default", loads_per_s=4.0)
_DEFAULT_POLICY = schema.Policy(name="default")


@dataclasses.dataclass(frozen=True)
class View:
    """A configuration at one version.

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
        return self._of(schema.Model)

    @functools.cached_property
    def adapters(self) -> dict[str, schema.Adapter]:
        """Adapters by name."""
        return self._of(schema.Adapter)

    @functools.cached_property
    def teams(self) -> dict[str, schema.Team]:
        """Teams by name."""
        return self._of(schema.Team)

    @functools.cached_property
    def routes(self) -> dict[str, schema.Route]:
        """Routes by name."""
        return self._of(schema.Route)

    @functools.cached_property
    def services(self) -> dict[str, schema.Service]:
        """Services by name."""
        return self._of(schema.Service)

    @functools.cached_property
    def keys_by_hash(self) -> dict[str, schema.Key]:
        """Keys by keyed hash."""
        return {key.hash: key for key in self._of(schema.Key).values()}

    @functools.cached_property
    def store(self) -> schema.Store:
        """Limits of the weight store."""
        return next(iter(self._of(schema.Store).values()), _DEFAULT_STORE)

    @functools.cached_property
    def policy(self) -> schema.Policy:
        """Weights of the operator."""
        return next(iter(self._of(schema.Policy).values()), _DEFAULT_POLICY)

    def route_model(self, route: schema.Route) -> tuple[str, str]:
        """Returns the model and adapter names of a route ("" for none)."""
        if route.adapter is not None:
            return self.adapters[route.adapter].model, route.adapter
        return route.model or "", ""

    def _of(self, cls: type[_Object]) -> dict[str, _Object]:
        return {
            item.name: item
            for item in self.objects.values()
            if isinstance(item, cls)
        }


def key_hash(*, secret: bytes, key: str) -> str:
    """Returns the hexadecimal HMAC-SHA256 of a caller key."""
    return hmac.new(secret, key.encode(), hashlib.sha256).hexdigest()
