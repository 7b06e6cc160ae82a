"""Signals as events that a green thread can wait for."""

from __future__ import annotations

import logging
import signal
import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.green import socket

from cedarchute.daemon.early_signals import EARLY_SIGNALS

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.daemon.early_signals import ArrivedSignal, EarlySignals

log = logging.getLogger("cedarchute.daemon")

READ_BYTES: Final = 64


class Signals:
    """Wakes a green thread for each signal; a handler alone would not wake the hub.

    Parameters
    ----------
    early : EarlySignals
        Keeps every signal, also those from before this object was there.
    handlers : dict
        What each signal leads to, called with the time at which it arrived.
    """

    def __init__(
        self,
        early: EarlySignals,
        handlers: dict[signal.Signals, Callable[[float], None]],
    ) -> None:
        self.early = early
        self.handlers = handlers
        self.created_at = time.monotonic()
        self.reader, self.writer = socket.socketpair()
        self.writer.setblocking(False)

    def start(self) -> None:
        """Handle signals in a green thread, first those that have arrived already."""
        # Before the first look at them, so that none arrives unseen in between.
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        eventlet.spawn_n(self.run_forever)

    def run_forever(self) -> None:
        """Handle each signal that arrives."""
        while True:
            while self.early.arrived:
                self.handle(self.early.arrived.popleft())
            self.reader.recv(READ_BYTES)

    def handle(self, arrived: ArrivedSignal) -> None:
        """Log one signal and do what it asks for."""
        log.info(
            "Signal received.",
            extra={
                "signal": signal.Signals(arrived.number).name,
                "during_start": arrived.at_seconds < self.created_at,
                "ms_ago": round((time.monotonic() - arrived.at_seconds) * 1000, 1),
            },
        )
        try:
            self.handlers[signal.Signals(arrived.number)](arrived.at_seconds)
        except Exception:
            log.exception("Signal not handled.")


def handle_signals(ask_stop: Callable[[float], None]) -> None:
    """Handle the signals of this process from now on, and those from before."""
    handlers = {
        signal.SIGTERM: ask_stop,
        signal.SIGINT: ask_stop,
        signal.SIGHUP: note_changed_settings,
    }
    Signals(EARLY_SIGNALS, handlers).start()


def note_changed_settings(at_seconds: float) -> None:
    """Log that a new settings file was not read."""
    del at_seconds
    log.info("Settings changed; they apply from the next start.")
