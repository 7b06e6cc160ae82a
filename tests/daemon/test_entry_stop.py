from __future__ import annotations

import time

import eventlet
import pytest
from eventlet.event import Event

from cedarchute.calls.shutdown_deadline import ShutdownDeadline
from cedarchute.daemon import entry_stop
from cedarchute.daemon.entry_stop import EntryStop

# Long enough for any machine; reached only if the stop hangs.
HANG_SECONDS = 30.0
GRACE_SECONDS = 0.1


class IdleServer:
    """Stands in for the server of callers; nothing is under way."""

    is_busy = False
    connections = frozenset()

    def interrupt_requests(self, include_started=False):
        return 0

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
    stop = EntryStop(IdleServer(), registration, ShutdownDeadline(), GRACE_SECONDS)
    with eventlet.Timeout(HANG_SECONDS):
        stop.ask()
        stop.wait()
    assert registration.asked_to_end.ready()


class RecordingServer(IdleServer):
    """Notes what the stop asks for, and when."""

    def __init__(self, clock):
        self.clock = clock
        self.asked = {}

    def begin_closing(self):
        self.note("begin_closing")

    def stop_accepting(self):
        self.note("stop_accepting")

    def close_idle(self):
        self.note("close_idle")

    def note(self, what):
        self.asked.setdefault(what, self.clock.now)


class QuickRegistration:
    """Stands in for the registration; the store answers at once."""

    def leave(self):
        pass

    def end(self):
        pass


class VirtualClock:
    """Time that passes only while something sleeps."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds
        eventlet.sleep(0)


@pytest.fixture
def clock(monkeypatch):
    clock = VirtualClock()
    monkeypatch.setattr(entry_stop, "time", clock)
    monkeypatch.setattr(entry_stop, "eventlet", VirtualEventlet(clock))
    return clock


class VirtualEventlet:
    """eventlet with a sleep in virtual time."""

    def __init__(self, clock):
        self.sleep = clock.sleep
        self.spawn = eventlet.spawn
        self.spawn_n = eventlet.spawn_n
        self.Timeout = eventlet.Timeout


def test_idle_connections_stay_open_while_new_ones_are_taken(clock):
    server = RecordingServer(clock)
    stop = EntryStop(server, QuickRegistration(), ShutdownDeadline(), 8.0)
    stop.run(clock.now)
    assert server.asked["begin_closing"] == 1000.0
    assert server.asked["close_idle"] >= server.asked["stop_accepting"]
    assert server.asked["stop_accepting"] == pytest.approx(1006.4, abs=0.11)
    assert clock.now < 1008.0 - entry_stop.END_SECONDS


def test_the_grace_of_a_signal_during_the_start_began_after_the_start():
    deadline = ShutdownDeadline()
    stop = EntryStop(IdleServer(), SilentRegistration(), deadline, 2 * HANG_SECONDS)
    with eventlet.Timeout(HANG_SECONDS):
        stop.ask(time.monotonic() - 2 * HANG_SECONDS)
        stop.wait()


class BusyServer(RecordingServer):
    """A server with a request that never ends by itself."""

    is_busy = True

    def interrupt_requests(self, include_started=False):
        self.note("interrupt_started" if include_started else "interrupt")
        return 1


def test_requests_that_never_end_are_answered_within_the_grace(clock):
    server = BusyServer(clock)
    deadline = ShutdownDeadline()
    stop = EntryStop(server, QuickRegistration(), deadline, 8.0)
    stop.run(clock.now)
    assert deadline.answers_due_at == pytest.approx(1007.4)
    assert server.asked["interrupt"] == pytest.approx(1007.4, abs=0.11)
    assert server.asked["interrupt_started"] == pytest.approx(1007.6, abs=0.11)
    assert clock.now < 1008.0 - entry_stop.END_SECONDS
