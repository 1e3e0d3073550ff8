"""Errors that are sent to callers, all in one format."""

import json
import math
from typing import Any, Literal

from aiohttp import web

from monsoonhinge.runtime import errors

NotRun = Literal[True, False, "unknown"]


class Refusal(errors.MonsoonhingeError):
    """A request is refused or cannot be completed.

    Attributes:
        message: Text for the caller, without the step and the peer.
        status: HTTP status.
        code: Machine-readable reason.
        not_run: True only if the request has not run and will not run.
        retry_after_s: Seconds until a retry can succeed, or None.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: str,
        not_run: NotRun = True,
        retry_after_s: float | None = None,
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.message = message
        self.status = status
        self.code = code
        self.not_run = not_run
        self.retry_after_s = retry_after_s

    def document(self, request_id: str) -> dict[str, Any]:
        """Returns the JSON body of the error response."""
        return {
            "error": {
                "code": self.code,
                "message": self.message,
                "type": _error_type(self.status),
                "request_id": request_id,
                "not_run": self.not_run,
                "retry_after_s": self.retry_after_s,
            }
        }

    def response(self, request_id: str) -> web.Response:
        """Returns the error response, with Retry-After if it is known."""
        headers = {"X-Request-Id": request_id}
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(math.ceil(self.retry_after_s))
        return web.Response(
            status=self.status,
            body=json.dumps(self.document(request_id)).encode(),
            content_type="application/json",
            headers=headers,
        )


def for_cancelled_request(reason: Refusal, *, not_run: NotRun) -> Refusal:
    """Returns the refusal of a request that the gateway cancelled.

    Args:
        reason: Why it was cancelled.
        not_run: Whether the request is known not to have run.
    """
    return Refusal(
        reason.message,
        status=reason.status,
        code=reason.code,
        not_run=not_run,
        retry_after_s=reason.retry_after_s,
        step="queue" if not_run is True else "forward",
    )


def _error_type(status: int) -> str:
    match status:
        case 401:
            return "authentication_error"
        case 403:
            return "permission_error"
        case 429:
            return "rate_limit_error"
        case _ if status < 500:
            return "invalid_request_error"
        case _:
            return "server_error"
