"""The script of a target that keeps how its connection ended."""

from __future__ import annotations

import queue
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from standins.raw_target import RawRequest


class ScriptEnd(StrEnum):
    """How a script ended."""

    CLOSED = "closed by the caller"
    SENT = "sent to the last byte"


class WatchedScript:
    """Runs a script for one request."""

    def __init__(self, script: Callable[[RawRequest, socket.socket], None]) -> None:
        self.script = script
        self.ends: queue.SimpleQueue[ScriptEnd] = queue.SimpleQueue()

    def __call__(self, request: RawRequest, connection: socket.socket) -> None:
        """Run the script."""
        try:
            self.script(request, connection)
        except OSError:
            self.ends.put(ScriptEnd.CLOSED)
        else:
            self.ends.put(ScriptEnd.SENT)

    def wait_end(self, seconds: float) -> ScriptEnd:
        """Return how the script ended; raise ``queue.Empty`` after `seconds`."""
        return self.ends.get(timeout=seconds)
