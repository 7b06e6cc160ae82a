from __future__ import annotations

import time

import eventlet
from eventlet.event import Event

from cedarchute.daemon.entry_stop import EntryStop

# Long enough for any machine; reached only if the stop hangs.
HANG_SECONDS = 30.0
GRACE_SECONDS = 0.1


class IdleServer:
    """Stands in for the server of callers; nothing is under way."""

    is_busy = False

    def begin_closing(self):
        pass

    def close_idle(self):
        pass

    def stop_accepting(self):
        pass


class SilentRegistration:
    """Stands in for the registration while the store says nothing."""

    def __init__(self):
        self.asked_to_end = Event()

    def leave(self):
        pass

    def end(self):
        self.asked_to_end.send(None)
        Event().wait()


def test_a_silent_store_does_not_hold_the_stop_up():
    registration = SilentRegistration()
    stop = EntryStop(IdleServer(), registration, GRACE_SECONDS)
    with eventlet.Timeout(HANG_SECONDS):
        stop.ask()
        stop.wait()
    assert registration.asked_to_end.ready()


def test_the_grace_of_a_signal_during_the_start_began_after_the_start():
    stop = EntryStop(IdleServer(), SilentRegistration(), 2 * HANG_SECONDS)
    with eventlet.Timeout(HANG_SECONDS):
        stop.ask(time.monotonic() - 2 * HANG_SECONDS)
        stop.wait()
