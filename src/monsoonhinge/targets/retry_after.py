"""The time for which a target asks to get no requests."""

from collections.abc import Mapping
import datetime
import email.utils
import re

_HEADER = "Retry-After"
_DATE_HEADER = "Date"

# Statuses with which a target asks for a pause (RFC 9110 and RFC 6585).
_STATUSES = frozenset({429, 503})

# A longer time is cut to this one, since no request would ever find out that
# the target is sound again.
MAX_PAUSE_S = 30.0

_SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)


def requested_pause_s(status: int, headers: Mapping[str, str]) -> float:
    """Returns for how long a target asks to get no requests.

    Args:
        status: HTTP status of its response.
        headers: Headers of its response.

    Returns:
        Seconds, at most ``MAX_PAUSE_S``; 0 if it asks for no pause, or not in
        a way that can be read.
    """
    if status not in _STATUSES:
        return 0.0
    text = headers.get(_HEADER, "").strip()
    if _SECONDS.fullmatch(text):
        return min(MAX_PAUSE_S, float(text))
    until = _parse_date(text)
    if until is None:
        return 0.0
    # The clock of the target, where it is known, agrees with its date.
    sent_at = _parse_date(headers.get(_DATE_HEADER, ""))
    if sent_at is None:
        sent_at = datetime.datetime.now(datetime.UTC)
    return min(MAX_PAUSE_S, max(0.0, (until - sent_at).total_seconds()))


def _parse_date(text: str) -> datetime.datetime | None:
    try:
        date = email.utils.parsedate_to_datetime(text)
    except (TypeError, ValueError, OverflowError):
        return None
    if date.tzinfo is None:
        return date.replace(tzinfo=datetime.UTC)
    return date
