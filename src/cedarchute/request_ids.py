"""The id of the request that a task works for, as it stands in the logs."""

from __future__ import annotations

import logging
import re
from contextvars import ContextVar
from typing import Final

REQUEST_ID_HEADER: Final = "X-Request-Id"
ID_PATTERN: Final = re.compile(r"^[\x21-\x7e]{1,128}$")
_current: ContextVar[str] = ContextVar("request_id", default="")


def set_request_id(request_id: str) -> None:
    """Set the id for this task; a task that it spawns has to be told by itself."""
    _current.set(request_id)


def current_request_id() -> str:
    """Return the id that this task works for, or an empty text."""
    return _current.get()


def is_request_id(text: str) -> bool:
    """Return whether a caller's id may stand in a log line and a header."""
    return ID_PATTERN.match(text) is not None


class RequestIdFilter(logging.Filter):
    """Adds the id of the request to each log record as `request_id`."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the id and let the record pass."""
        record.request_id = current_request_id()
        return True
