"""Collects what is to be told while the last message is still under way."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Digests in one message.
MAX_DIGESTS: Final = 256
# Between messages while more and more is to be told.
PAUSE_SECONDS: Final = 0.02


class BatchSender:
    """Sends digests in batches, one at a time.

    When a failure domain is lost, each box has many crashes to tell of at once: they
    take few messages, however many there are.

    Parameters
    ----------
    send : Callable
        Sends one batch of digests; returns once it has been sent, or failed.
    """

    def __init__(self, send: Callable[[list[str]], None]) -> None:
        self.send = send
        self.pending: dict[str, None] = {}
        self.sent = Event()
        self.is_running = False

    def add(self, digests: Iterable[str]) -> Event:
        """Have digests sent; return what is triggered once they are."""
        self.pending.update(dict.fromkeys(digests))
        sent = self.sent
        if not self.is_running:
            self.is_running = True
            eventlet.spawn_n(self.run)
        return sent

    def run(self) -> None:
        """Send batches until nothing is pending."""
        try:
            while self.pending:
                batch, self.pending = list(self.pending), {}
                sent, self.sent = self.sent, Event()
                try:
                    for start in range(0, len(batch), MAX_DIGESTS):
                        self.send(batch[start : start + MAX_DIGESTS])
                finally:
                    sent.send(None)
                eventlet.sleep(PAUSE_SECONDS if self.pending else 0)
        finally:
            self.is_running = False
