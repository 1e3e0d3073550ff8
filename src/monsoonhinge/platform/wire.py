"""Headers, paths and variables defined by the platform."""

from collections.abc import Mapping

# Headers of callers' requests and of targets' responses.
REQUEST_ID = "X-Request-Id"
MODEL = "X-Model"
TOKEN_COUNT = "X-Token-Count"
PROMPT_PREFIX = "X-Prompt-Prefix"
DEADLINE_MS = "X-Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# Request id of the attempt that brought the first event of a stream.
RESUMES = "Resumes"
AUTHORIZATION = "Authorization"
SERVER_SIGNATURE = "X-Server-Signature"
NOT_EXECUTED = "X-Not-Executed"
INSTANCE = "X-Instance-Id"
# Requests per second that the server takes from all machines together.
SERVER_LIMIT = "Server-Limit"
# 1 if the server is about to leave and wants no further requests.
SERVER_LEAVING = "Server-Leaving"

# Statuses of responses that promise the caller that its request has not run.
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})

# Headers of requests to targets that only this system may set.
TENANT = "X-Tenant"
EXPECTED_INSTANCE = "X-Expected-Instance"
PRIORITY = "X-Request-Priority"

# Headers that are removed from callers' requests, so that a caller can neither
# set headers of this system nor reserve memory of a target.
STRIPPED_REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        DEADLINE_MS,
        EXPECTED_INSTANCE,
        LAST_EVENT_ID,
        PRIORITY,
        TENANT,
        "X-Expected-Version",
        "X-Hold",
        "X-Kv-Backup",
        "X-Pin-Ms",
        "Kv-Fetch",
        "Kv-From",
    )
)

# Headers of one connection, which are not forwarded: those of RFC 9110 section
# 7.6.1 and those that the HTTP library sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

CONFIG_PATH = "/monsoonhinge/config"
INSTANCE_PATH = "/monsoonhinge/instances/{target}"
ORDER_PATH = "/monsoonhinge/order"
REPORT_PATH = "/monsoonhinge/report"

# An adapter of a model is written as ``MODEL/ADAPTER``.
ADAPTER_SEPARATOR = "/"

SETTINGS_VARIABLE = "MONSOONHINGE_SETTINGS"


def says_leaving(headers: Mapping[str, str]) -> bool:
    """Returns whether the server of a response says that it is leaving."""
    return headers.get(SERVER_LEAVING, "").strip() == "1"
