"""What targets say about themselves in the heads of their responses.

Load pattern: a target in need names the requests per second that it accepts
or says that it is leaving, before the control members know.
"""

from collections.abc import Callable, Mapping

from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import rate_limiter
from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import events


class TargetNotices:
    """Applies the notices of targets, and reports what others must know."""

    def __init__(
        self,
        *,
        request_dialect: dialect.Dialect,
        targets: target_table.TargetTable,
        limiter: rate_limiter.RateLimiter,
        report: Callable[[fleet.Registrations], None],
    ) -> None:
        """Initializes the notices.

        Args:
            request_dialect: Wire format of the responses.
            targets: Known targets.
            limiter: Keeps requests within the rate limits of targets.
            report: Sends a report to all control members.
        """
        self._dialect = request_dialect
        self._targets = targets
        self._limiter = limiter
        self._report = report

    def record(
        self,
        target: target_table.Target,
        *,
        headers: Mapping[str, str],
        sent_at: float,
        now: float,
    ) -> None:
        """Records the head of a response of the addressed target.

        Args:
            target: The target.
            headers: Headers of its response.
            sent_at: When the request was sent, in seconds of the event loop.
            now: Current time of the event loop.
        """
        self._limiter.record_response(
            target,
            self._dialect.rate_limit(headers),
            sent_at=sent_at,
            now=now,
        )
        if self._dialect.is_leaving(headers):
            self._record_leaving(target)

    def _record_leaving(self, target: target_table.Target) -> None:
        if not self._targets.record_leaving(target):
            return
        registration = target.registration
        events.emit(
            events.TARGET,
            target=target.name,
            incarnation=registration.incarnation,
            sequence=registration.sequence,
            state=registration.state,
            service=registration.service,
            leaving=True,
        )
        self._report(fleet.Registrations(registrations=[registration]))
