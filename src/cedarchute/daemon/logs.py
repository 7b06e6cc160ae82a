"""Logs: one short sentence a line, with the part that says it."""

from __future__ import annotations

import json
import logging
import os
import sys
from typing import Final

from cedarchute.daemon.bounded_log import BoundedHandler
from cedarchute.request_ids import RequestIdFilter

PREFIX: Final = "cedarchute."
ENCODER: Final = json.JSONEncoder(default=str)
# What every record has; the rest are the fields of this line.
STANDARD_FIELDS: Final = frozenset(
    (*vars(logging.makeLogRecord({})), "message", "asctime", "part", "request_id")
)


def read_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the fields that a line was given beside its sentence."""
    return {k: v for k, v in vars(record).items() if k not in STANDARD_FIELDS}


class TextFormatter(logging.Formatter):
    """Formats as ``time level part: sentence``, with the request at the end."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname).1s %(part)s: %(message)s")

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        record.part = record.name.removeprefix(PREFIX)
        line = super().format(record)
        for name, value in read_fields(record).items():
            line += f" {name}={value}"
        request_id = getattr(record, "request_id", "")
        return f"{line} [request {request_id}]" if request_id else line


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
        if request_id := getattr(record, "request_id", ""):
            document["request_id"] = request_id
        document.update(read_fields(record))
        if record.exc_info:
            document["exception"] = self.formatException(record.exc_info)
        return ENCODER.encode(document)


def set_up_logs(form: str, level: str) -> None:
    """Send logs to standard error; writing them never waits for a reader."""
    attach_handler(BoundedHandler(sys.stderr.fileno()), form, level)


def set_up_bounded_logs(form: str, level: str) -> None:
    """Send logs to standard output; writing them never waits for a reader.

    Nor does the loop of tasks, which writes traces to standard error by itself.
    """
    if sys.stderr is not None:
        os.set_blocking(sys.stderr.fileno(), False)
    attach_handler(BoundedHandler(sys.stdout.fileno()), form, level)


def attach_handler(handler: logging.Handler, form: str, level: str) -> None:
    """Let one handler write every log of the program."""
    handler.addFilter(RequestIdFilter())
    handler.setFormatter(JsonFormatter() if form == "json" else TextFormatter())
    root = logging.getLogger("cedarchute")
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False
