"""Error responses that the ingress creates itself."""

import enum
import math

from monsoonhinge.runtime import errors


class Reason(enum.Enum):
    """Reason of a refusal."""

    MALFORMED = "malformed"
    NO_CONFIGURATION = "no_configuration"
    STALE_CONFIGURATION = "stale_configuration"
    UNKNOWN_ROUTE = "unknown_route"
    INVALID_KEY = "invalid_key"
    BODY_TOO_LARGE = "body_too_large"
    OVER_QUOTA = "over_quota"
    NO_TARGET = "no_target"
    NOT_IN_TIME = "not_in_time"
    TARGETS_FULL = "targets_full"
    STOPPING = "stopping"
    TIMEOUT = "timeout"
    ANSWER_LOST = "answer_lost"
    CRASHES_TARGETS = "crashes_targets"
    ORIGIN_UNKNOWN = "origin_unknown"
    VERSION_GONE = "version_gone"


_STATUSES = {
    Reason.MALFORMED: 400,
    Reason.NO_CONFIGURATION: 503,
    Reason.STALE_CONFIGURATION: 503,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.INVALID_KEY: 401,
    Reason.BODY_TOO_LARGE: 413,
    Reason.OVER_QUOTA: 429,
    Reason.NO_TARGET: 503,
    Reason.NOT_IN_TIME: 503,
    Reason.TARGETS_FULL: 503,
    Reason.STOPPING: 503,
    Reason.TIMEOUT: 504,
    Reason.ANSWER_LOST: 502,
    Reason.CRASHES_TARGETS: 503,
    Reason.ORIGIN_UNKNOWN: 503,
    Reason.VERSION_GONE: 503,
}


class Refusal(errors.MonsoonhingeError):
    """The ingress responds with an error instead of a target's response.

    Attributes:
        reason: Reason, also sent to the caller.
        status: HTTP status; 429 and 503 guarantee that the request did not
            run.
        retry_after_s: Delay after which a retry may succeed, or None.
    """

    def __init__(
        self,
        reason: Reason,
        *,
        retry_after_s: float | None = None,
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(reason.value, step=step, peer=peer)
        self.reason = reason
        self.status = _STATUSES[reason]
        self.retry_after_s = retry_after_s

    def after_run(self) -> "Refusal":
        """Returns the refusal to use if the request may have run.

        A 429 or 503 would wrongly state that it did not.
        """
        if self.status not in (429, 503):
            return self
        return Refusal(Reason.ANSWER_LOST, step=self.step, peer=self.peer)

    def retry_after_header(self) -> str | None:
        """Returns the value of the Retry-After header, or None."""
        if self.retry_after_s is None:
            return None
        return f"{math.ceil(self.retry_after_s * 100) / 100:g}"
