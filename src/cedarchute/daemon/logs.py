"""Logs: one short sentence a line, with the part that says it."""

from __future__ import annotations

import json
import logging
import sys
from typing import Final

PREFIX: Final = "cedarchute."


class TextFormatter(logging.Formatter):
    """Formats as ``time level part: sentence``."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname).1s %(part)s: %(message)s")

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        record.part = record.name.removeprefix(PREFIX)
        return super().format(record)


class JsonFormatter(logging.Formatter):
    """Formats as one JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        document = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "part": record.name.removeprefix(PREFIX),
            "message": record.getMessage(),
        }
        if record.exc_info:
            document["exception"] = self.formatException(record.exc_info)
        return json.dumps(document)


def set_up_logs(form: str, level: str) -> None:
    """Send logs to standard error in the given form."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter() if form == "json" else TextFormatter())
    root = logging.getLogger("cedarchute")
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False
