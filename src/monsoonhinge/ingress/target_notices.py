"""What targets say about themselves in the heads of their responses.

Load pattern: a target in need names the requests per second that it accepts,
asks for a pause, or says that it is leaving, before the control members know.
"""

from collections.abc import Callable, Mapping

from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import rate_limiter
from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import events
from monsoonhinge.targets import retry_after


class TargetNotices:
    """Applies the notices of targets, and reports what others must know.

    Pauses concern this gateway alone, since each one is asked by itself.
    """

    def __init__(
        self,
        *,
        request_dialect: dialect.Dialect,
        targets: target_table.TargetTable,
        limiter: rate_limiter.RateLimiter,
        report: Callable[[fleet.Registrations], None],
        on_pause: Callable[[float], None],
    ) -> None:
        """Initializes the notices.

        Args:
            request_dialect: Wire format of the responses.
            targets: Known targets.
            limiter: Keeps requests within the rate limits of targets.
            report: Sends a report to all control members.
            on_pause: Called with the end of the pause of a target, in seconds
                of the event loop.
        """
        self._dialect = request_dialect
        self._targets = targets
        self._limiter = limiter
        self._report = report
        self._on_pause = on_pause

    def record(
        self,
        target: target_table.Target,
        *,
        status: int,
        headers: Mapping[str, str],
        sent_at: float,
        now: float,
    ) -> None:
        """Records the head of a response of the addressed target.

        Args:
            target: The target.
            status: HTTP status of its response.
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
        pause_s = retry_after.requested_pause_s(status, headers)
        if pause_s > 0.0:
            self._record_pause(target, pause_s, now)

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

    def _record_pause(
        self, target: target_table.Target, pause_s: float, now: float
    ) -> None:
        until = now + pause_s
        if until <= target.retry_at:
            return
        target.retry_at = until
        events.emit(
            events.PAUSED,
            target=target.name,
            incarnation=target.registration.incarnation,
            pause_s=round(pause_s, 3),
        )
        self._on_pause(until)
