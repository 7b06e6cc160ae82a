"""Signals as events that a green thread can wait for."""

from __future__ import annotations

import signal
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Signals:
    """Wakes a green thread for each signal; a handler alone would not wake the hub."""

    def __init__(self, handlers: dict[signal.Signals, Callable[[], None]]) -> None:
        self.handlers = handlers
        self.reader, self.writer = socket.socketpair()
        self.writer.setblocking(False)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, lambda *_: None)

    def run_forever(self) -> None:
        """Call the handler of each signal that comes."""
        while True:
            for number in self.reader.recv(64):
                handler = self.handlers.get(signal.Signals(number))
                if handler is not None:
                    handler()
