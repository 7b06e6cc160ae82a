"""Planned stops of a holder."""

from __future__ import annotations

import time

import eventlet
import pytest
from eventlet.event import Event

from cedarchute.daemon import holder_stop
from cedarchute.daemon.holder_stop import HolderStop

# Long enough for any machine; reached only if the stop hangs.
HANG_SECONDS = 30.0


class RecordingRegistration:
    """Stands in for the registration; the store is silent where it is told to be."""

    def __init__(self, silent=()):
        self.silent = silent
        self.asked = []

    def leave(self):
        self.tell("leave")

    def end(self):
        self.tell("end")

    def tell(self, what):
        self.asked.append(what)
        if what in self.silent:
            Event().wait()


class LaterOrder:
    """Holders that this one waits for until its deadline."""

    def __init__(self, waits=False):
        self.waits = waits

    def wait(self, deadline):
        if self.waits:
            eventlet.sleep(max(0.0, deadline - time.monotonic()))


def stop(registration, grace_seconds, seconds_ago=0.0, waits=False):
    stop = HolderStop(registration, grace_seconds, LaterOrder(waits))
    with eventlet.Timeout(HANG_SECONDS):
        stop.ask(time.monotonic() - seconds_ago)
        stop.ask(time.monotonic())
        stop.wait()


@pytest.fixture(autouse=True)
def short_notice(monkeypatch):
    monkeypatch.setattr(holder_stop, "NOTICE_SECONDS", 0.01)


def test_a_holder_leaves_once_and_ends_once():
    registration = RecordingRegistration()
    stop(registration, HANG_SECONDS)
    assert registration.asked == ["leave", "end"]


@pytest.mark.parametrize("waits", [False, True])
@pytest.mark.parametrize("silent", [("leave",), ("end",), ("leave", "end")])
def test_a_silent_store_does_not_hold_the_stop_of_a_holder_up(silent, waits):
    registration = RecordingRegistration(silent)
    stop(registration, 1.0 if waits else 0.7, waits=waits)
    assert registration.asked == ["leave", "end"]


def test_the_grace_of_a_signal_while_the_disk_was_read_began_with_the_signal():
    registration = RecordingRegistration(silent=("leave", "end"))
    stop(registration, 2 * HANG_SECONDS, seconds_ago=2 * HANG_SECONDS)
    assert registration.asked == ["leave", "end"]


def test_boxes_hear_of_a_stop_that_began_late(monkeypatch):
    monkeypatch.setattr(holder_stop, "NOTICE_SECONDS", 2 * HANG_SECONDS)
    registration = RecordingRegistration()
    stop(registration, HANG_SECONDS, seconds_ago=HANG_SECONDS)
    assert registration.asked == ["leave", "end"]
