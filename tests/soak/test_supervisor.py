"""How the end of a box is judged."""

from __future__ import annotations

import signal
from pathlib import Path
from types import SimpleNamespace

import pytest

from experiments.node_site import PROGRAM
from experiments.process import Process
from experiments.soak.records import Records
from experiments.soak.startup import can_be_reached
from experiments.soak.supervisor import ENDED_EARLY, Supervisor
from experiments.waiting import wait_until

NAME = "box"
# A run in the background may have had SIGHUP ignored, which processes inherit.
WAITS = "import signal, sys, time\nsignal.signal(signal.SIGHUP, signal.SIG_DFL)\n"
STOPS = "signal.signal(signal.SIGTERM, lambda *_: sys.exit({code}))\n"
LISTENS = f"{WAITS}import socket\n"
STARTS = 'print(\'"message": "Started."\', flush=True)\ntime.sleep(60)\n'


def make_site(process):
    nodes = SimpleNamespace(processes={NAME: process})
    return SimpleNamespace(nodes=nodes, records=Records())


@pytest.fixture
def play(tmp_path):
    """A supervisor of one process that runs the given code."""
    process = Process(NAME, [], tmp_path)

    def start(code):
        process.arguments = ["-c", code]
        process.start()
        site = make_site(process)
        supervisor = Supervisor(site, [NAME])
        wait_until(lambda: supervisor.has_started(NAME), "it has started")
        return supervisor, process

    yield start
    process.close()


def look_until_started_again(supervisor, process):
    wait_until(lambda: supervisor.look(NAME) or process.starts == 2, "it starts again")


@pytest.mark.parametrize(
    ("code", "number", "words"),
    [
        (LISTENS + STOPS.format(code=3) + STARTS, signal.SIGTERM, ["3,", "asked to"]),
        (LISTENS + STARTS, signal.SIGTERM, ["-15", "asked to"]),
        (LISTENS + STARTS, signal.SIGHUP, ["-1,", "unasked"]),
    ],
)
def test_a_box_that_ends_wrongly_is_found_and_started_again(play, code, number, words):
    supervisor, process = play(code)
    supervisor.send(NAME, number)
    process.wait()
    look_until_started_again(supervisor, process)
    (line,) = supervisor.failures
    assert all(word in line for word in words)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_a_box_that_ends_as_asked_is_started_again(play, number):
    supervisor, process = play(LISTENS + STOPS.format(code=0) + STARTS)
    supervisor.send(NAME, number)
    process.wait()
    look_until_started_again(supervisor, process)
    assert supervisor.failures == []


def test_a_box_that_ends_by_itself_is_found():
    process = SimpleNamespace(starts=1, wait=lambda: 0, log_path=None)
    site = make_site(process)
    supervisor = Supervisor(site, [NAME])
    supervisor.has_started = lambda name: True
    supervisor.judge_end(NAME, process)
    assert "unasked" in supervisor.failures[0]


def test_a_signal_before_the_program_runs_is_counted_and_no_failure(play):
    supervisor, process = play(WAITS + STARTS)
    supervisor.send(NAME, signal.SIGHUP)
    process.wait()
    look_until_started_again(supervisor, process)
    assert supervisor.failures == []
    assert supervisor.figures[ENDED_EARLY] == 1


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_box_that_can_be_reached_is_not_ended_by_a_signal(tmp_path, number):
    """A bound by processor time was over before the box took signals, beside load."""
    process = Process(NAME, [str(PROGRAM)], tmp_path)
    process.start()
    try:
        # Without a pause: the signal is to come as early as it counts.
        while not can_be_reached(process.pid):
            pass
        assert process.is_running
        process.popen.send_signal(number)
        # It goes on until it misses its settings.
        assert process.wait() == 2
    finally:
        process.close()


def test_a_process_that_is_gone_is_past_its_start(tmp_path):
    process = Process(NAME, ["-c", "pass"], tmp_path)
    process.start()
    wait_until(lambda: not process.is_running, "it ended")
    assert can_be_reached(process.pid)


def test_a_process_that_has_ended_and_is_not_reaped_is_past_its_start(tmp_path):
    process = Process(NAME, ["-c", "pass"], tmp_path)
    process.start()
    try:
        stat = Path(f"/proc/{process.pid}/stat")
        wait_until(lambda: ") Z " in stat.read_text(), "it ended")
        assert can_be_reached(process.pid)
    finally:
        process.close()
