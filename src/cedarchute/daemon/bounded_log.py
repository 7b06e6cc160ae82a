"""A log handler that never waits and never writes more than its budget."""

from __future__ import annotations

import fcntl
import logging
import os
import posix
import time
from collections import Counter, deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

# Lines of one event in a second: several times what a busy box says of its calls.
LINES_PER_SECOND: Final = 400
# Lines kept while nobody reads the output.
KEPT_BYTES: Final = 262_144
DROPPED: Final = "Lines dropped."


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor; what cannot be written at once is kept or dropped.

    Each event (a sentence of a part) has a budget of lines a second. What was dropped
    for want of budget or room is counted and told in a line of its own.
    """

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.clock = clock
        self.kept: deque[bytes] = deque()
        self.kept_bytes = 0
        self.second = 0
        self.written: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, keep it, or count it as dropped."""
        try:
            self.begin_second()
            event = f"{record.name}: {record.msg}"
            self.written[event] += 1
            if self.written[event] > LINES_PER_SECOND:
                self.dropped[event] += 1
                return
            self.put(event, self.format(record))
            self.flush_kept()
        except Exception:
            self.handleError(record)

    def begin_second(self) -> None:
        """Renew the budgets, and tell what was dropped, once a second."""
        second = int(self.clock())
        if second == self.second:
            return
        self.second = second
        self.written.clear()
        dropped, self.dropped = self.dropped, Counter()
        for event, count in dropped.items():
            record = logging.LogRecord(
                "cedarchute.logs", logging.WARNING, "", 0, DROPPED, None, None
            )
            record.event = event
            record.count = count
            self.put(DROPPED, self.format(record))

    def put(self, event: str, line: str) -> None:
        """Keep a line until it is written."""
        data = line.encode(errors="replace") + b"\n"
        if self.kept_bytes + len(data) > KEPT_BYTES:
            self.dropped[event] += 1
            return
        self.kept.append(data)
        self.kept_bytes += len(data)

    def flush_kept(self) -> None:
        """Write as much as the other side takes now; keep the rest.

        A disk without room and a pipe without a reader count as one that takes nothing:
        telling standard error of each line could block the process there. By the
        system's own call: that of `os` is one that waits in a box, and its task stopped
        at a full pipe.
        """
        while self.kept:
            data = self.kept[0]
            try:
                count = posix.write(self.descriptor, data)
            except OSError:
                return
            self.kept_bytes -= count
            if count == len(data):
                self.kept.popleft()
            else:
                self.kept[0] = data[count:]
