"""Finds where a stream began that a caller resumes.

Load pattern: targets of two software versions serve, connections break or all
gateways lose power, and callers resume their streams at any gateway. A stream
goes on only where it began. If that is neither recorded nor certain, it is
refused at once, since two versions cannot continue each other's text.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import dataclasses
import enum

from monsoonhinge.config import ingress as objects
from monsoonhinge.config import view as config_view
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import metrics
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import stream_origins
from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import events
from monsoonhinge.targets import software_versions


class Source(enum.Enum):
    """How the origin of a stream is known."""

    GATEWAY = "gateway"
    MEMBER = "member"
    SOLE_VERSION = "sole_version"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class MemberReplies:
    """What the control members know of a stream.

    Attributes:
        replies: Replies that arrived in time.
        members: Number of members that this gateway knows.
    """

    replies: Sequence[fleet.FoundStreamOrigin]
    members: int

    def recorded_origin(self) -> stream_origins.StreamOrigin | None:
        """Returns the origin that a member has recorded, or None."""
        for reply in self.replies:
            if reply.recorded:
                return stream_origins.StreamOrigin(
                    reply.service, reply.software_version
                )
        return None

    def sole_version(self) -> software_versions.SoleVersion | None:
        """Returns the only version according to a majority of the members.

        One member alone may be partitioned from those at which the targets of
        another version have registered.
        """
        if len(self.replies) <= self.members // 2:
            return None
        versions = {reply.sole_version for reply in self.replies}
        if len(versions) != 1:
            return None
        return software_versions.SoleVersion(
            software_version=versions.pop(),
            for_s=min(reply.sole_for_ms for reply in self.replies) / 1000,
        )


class Resumptions:
    """Binds requests that resume a stream to the origin of the stream."""

    def __init__(
        self,
        *,
        origins: stream_origins.StreamOrigins,
        targets: target_table.TargetTable,
        ask_members: Callable[
            [fleet.FindStreamOrigin], Awaitable[MemberReplies]
        ],
    ) -> None:
        """Creates it.

        Args:
            origins: Streams of this gateway.
            targets: Known targets.
            ask_members: Asks all control members.
        """
        self._origins = origins
        self._targets = targets
        self._ask_members = ask_members

    async def bind(
        self,
        parsed: dialect.ParsedRequest,
        admitted: admission.AdmittedRequest,
        view: config_view.View,
    ) -> admission.AdmittedRequest:
        """Returns the request with the service and version that it needs.

        Args:
            parsed: Request that names the last event that its caller has.
            admitted: Its route and team.
            view: Configuration in effect.

        Raises:
            refusal.Refusal: The origin is unknown, or the route no longer
                leads there.
        """
        origin, source = await self._find(parsed, admitted)
        service = _service(admitted.route, view, origin)
        events.emit(
            events.RESUMPTION,
            request_id=parsed.request_id,
            first_request_id=parsed.first_request_id,
            last_event_id=parsed.last_event_id,
            source=source.value,
            service=origin.service if origin else None,
            software_version=origin.software_version if origin else None,
            outcome="bound" if service else "refused",
        )
        metrics.RESUMPTIONS.labels(
            source.value, "bound" if service else "refused"
        ).inc()
        if origin is None:
            raise refusal.Refusal(refusal.Reason.ORIGIN_UNKNOWN, step="resume")
        if service is None:
            raise refusal.Refusal(refusal.Reason.VERSION_GONE, step="resume")
        return dataclasses.replace(
            admitted, service=service, software_version=origin.software_version
        )

    async def _find(
        self,
        parsed: dialect.ParsedRequest,
        admitted: admission.AdmittedRequest,
    ) -> tuple[stream_origins.StreamOrigin | None, Source]:
        stream = parsed.first_request_id
        now = asyncio.get_running_loop().time()
        origin = self._origins.find(stream, now) if stream else None
        if origin is not None:
            return origin, Source.GATEWAY
        found = await self._ask_members(
            fleet.FindStreamOrigin(stream=stream, service=admitted.service.name)
        )
        origin = found.recorded_origin()
        if origin is not None:
            return origin, Source.MEMBER
        version = self._certain_version(admitted, found)
        if version is None:
            return None, Source.UNKNOWN
        origin = stream_origins.StreamOrigin(admitted.service.name, version)
        return origin, Source.SOLE_VERSION

    def _certain_version(
        self, admitted: admission.AdmittedRequest, found: MemberReplies
    ) -> str | None:
        """Returns the only version that can have begun a stream, or None."""
        if len(admitted.route.backends) > 1:
            return None
        lifetime_s = stream_origins.lifetime(admitted.route.timeout_ms / 1000)
        sole = found.sole_version()
        if sole is None or sole.for_s < lifetime_s:
            return None
        # A member that is partitioned may not know what this gateway knows.
        contradicted = self._targets.runs_other_versions(
            admitted.service.name,
            sole.software_version,
            within_s=lifetime_s,
            now=asyncio.get_running_loop().time(),
        )
        return None if contradicted else sole.software_version


def _service(
    route: objects.IngressRoute,
    view: config_view.View,
    origin: stream_origins.StreamOrigin | None,
) -> objects.IngressService | None:
    """Returns the service of an origin if the route still leads there."""
    if origin is None:
        return None
    names = {item.service for item in route.backends if item.weight}
    if origin.service not in names:
        return None
    return view.ingress_services.get(origin.service)
