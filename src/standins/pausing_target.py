"""A target that stands still for a while, as one that is cut off does."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from standins.raw_target import RawTarget

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from standins.raw_target import RawRequest


class PausingTarget(RawTarget):
    """Answers nothing, health checks neither, while it is paused."""

    def __init__(self, script: Callable[[RawRequest, socket.socket], None]) -> None:
        self.is_going = threading.Event()
        self.is_going.set()
        super().__init__(self.run_when_going)
        self.run = script

    def run_when_going(self, request: RawRequest, connection: socket.socket) -> None:
        """Run a request once the target goes on."""
        self.is_going.wait()
        self.run(request, connection)

    def answer_health(self, connection: socket.socket) -> None:
        """Answer a health check once the target goes on."""
        self.is_going.wait()
        super().answer_health(connection)
