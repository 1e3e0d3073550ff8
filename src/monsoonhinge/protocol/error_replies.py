"""Error replies to requests that failed."""

import logging

from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_LOG = logging.getLogger(__name__)


def from_exception(error: Exception, *, step: str, peer: str) -> messages.Error:
    """Returns the reply to a request that ended with an exception.

    Args:
        error: The exception. One that is no error of this system is a defect
            and is logged.
        step: What failed, for the log.
        peer: Address of the requester, for the log.
    """
    match error:
        case errors.RemoteError():
            return messages.Error(
                code=error.code,
                message=str(error),
                step=error.step,
                leader=error.leader,
            )
        case errors.MessageTooLarge():
            _LOG.error(
                "message not sent: %s",
                error,
                extra={"step": step, "peer": peer},
            )
            return messages.Error(
                code="too_large", message=str(error), step=error.step
            )
        case errors.MonsoonhingeError():
            return messages.Error(
                code="failed", message=str(error), step=error.step
            )
        case _:
            _LOG.error(
                "unhandled exception in a message handler",
                exc_info=error,
                extra={"step": step, "peer": peer},
            )
            return messages.Error(
                code="internal", message="internal error", step=step
            )
