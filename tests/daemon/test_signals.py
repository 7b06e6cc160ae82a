from __future__ import annotations

import os
import signal
import subprocess
import sys

import eventlet
import pytest
from eventlet.event import Event

from cedarchute.daemon.early_signals import RECORDED_SIGNALS, EarlySignals
from cedarchute.daemon.signals import Signals

# Long enough for any machine; reached only if a signal is lost.
HANG_SECONDS = 30.0


@pytest.fixture
def early():
    before = {number: signal.getsignal(number) for number in RECORDED_SIGNALS}
    early = EarlySignals()
    early.install()
    yield early
    signal.set_wakeup_fd(-1)
    for number, handler in before.items():
        signal.signal(number, handler)


class Seen:
    """Collects handled signals, and can be waited for."""

    def __init__(self, count):
        self.count = count
        self.names = []
        self.done = Event()

    def add(self, name):
        self.names.append(name)
        if len(self.names) == self.count:
            self.done.send(None)


def make_signals(early, seen):
    handlers = {
        number: lambda _, number=number: seen.add(number.name)
        for number in RECORDED_SIGNALS
    }
    return Signals(early, handlers)


def test_signals_before_between_and_after_the_two_stages_were_lost(early):
    seen = Seen(4)
    os.kill(os.getpid(), signal.SIGHUP)
    signals = make_signals(early, seen)
    os.kill(os.getpid(), signal.SIGTERM)
    signals.start()
    os.kill(os.getpid(), signal.SIGINT)
    with eventlet.Timeout(HANG_SECONDS):
        while len(seen.names) < 3:
            eventlet.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        seen.done.wait()
    assert seen.names == ["SIGHUP", "SIGTERM", "SIGINT", "SIGTERM"]


def test_a_handler_that_failed_ended_the_handling_of_signals(early):
    seen = Seen(1)

    def fail(_):
        raise OSError("no room")

    handlers = {signal.SIGHUP: fail, signal.SIGTERM: lambda _: seen.add("SIGTERM")}
    os.kill(os.getpid(), signal.SIGHUP)
    Signals(early, handlers).start()
    with eventlet.Timeout(HANG_SECONDS):
        eventlet.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        seen.done.wait()
    assert seen.names == ["SIGTERM"]


# A process whose interpreter takes a while to end, after its work is done.
SLOW_END = """
import posix, sys, time
from time import sleep
import cedarchute.daemon.main as daemon
class Slow:
    def __del__(self, write=posix.write, sleep=sleep):
        write(1, b"ending")
        sleep(1)
slow = Slow()
daemon.run = lambda argv: 0
sys.argv = ["cedarchuted"]
daemon.main()
"""


def test_a_signal_while_the_interpreter_ended_changed_the_exit_code():
    process = subprocess.Popen([sys.executable, "-c", SLOW_END], stdout=subprocess.PIPE)
    with process:
        assert process.stdout.read(6) == b"ending"
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(HANG_SECONDS) == 0
