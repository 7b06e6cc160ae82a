"""Whether a planned stop was asked for, also before there is anything to stop."""

from __future__ import annotations

import eventlet
from eventlet.event import Event


class StopAskedError(Exception):
    """A planned stop was asked for before the box had joined."""

    code = "stop_asked"


class StopRequest:
    """Asked once by signals or the platform; waited for by what carries it out."""

    def __init__(self) -> None:
        self.event = Event()

    @property
    def is_asked(self) -> bool:
        """Whether the stop was asked for."""
        return self.event.ready()

    def ask(self) -> None:
        """Ask for the stop; asking twice changes nothing."""
        if not self.is_asked:
            self.event.send(None)

    def wait(self) -> None:
        """Return once the stop is asked for."""
        self.event.wait()

    def pause_start(self, seconds: float) -> None:
        """Wait before another try to join.

        Raises
        ------
        StopAskedError
            When the stop is asked for before or meanwhile.
        """
        with eventlet.Timeout(seconds, False):
            self.event.wait()
        if self.is_asked:
            raise StopAskedError
