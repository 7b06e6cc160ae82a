"""How the end of a box is judged."""

from __future__ import annotations

import math
import signal
from types import SimpleNamespace

import pytest

from experiments.process import Process
from experiments.soak.supervisor import (
    ENDED_EARLY,
    Supervisor,
    measure_start_seconds,
    read_cpu_seconds,
)
from experiments.waiting import wait_until

NAME = "box"
# A run in the background may have had SIGHUP ignored, which processes inherit.
WAITS = "import signal, sys, time\nsignal.signal(signal.SIGHUP, signal.SIG_DFL)\n"
STOPS = "signal.signal(signal.SIGTERM, lambda *_: sys.exit({code}))\n"
STARTS = 'print(\'"message": "Started."\', flush=True)\ntime.sleep(60)\n'


@pytest.fixture
def play(tmp_path):
    """A supervisor of one process that runs the given code."""
    process = Process(NAME, [], tmp_path)

    def start(code):
        process.arguments = ["-c", code]
        process.start()
        site = SimpleNamespace(nodes=SimpleNamespace(processes={NAME: process}))
        supervisor = Supervisor(site, [NAME])
        supervisor.start_seconds = 0.0
        wait_until(lambda: supervisor.has_started(NAME), "it has started")
        return supervisor, process

    yield start
    process.close()


def look_until_started_again(supervisor, process):
    wait_until(lambda: supervisor.look(NAME) or process.starts == 2, "it starts again")


@pytest.mark.parametrize(
    ("code", "number", "words"),
    [
        (WAITS + STOPS.format(code=3) + STARTS, signal.SIGTERM, ["3,", "asked to"]),
        (WAITS + STARTS, signal.SIGTERM, ["-15", "asked to"]),
        (WAITS + STARTS, signal.SIGHUP, ["-1,", "unasked"]),
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
    supervisor, process = play(WAITS + STOPS.format(code=0) + STARTS)
    supervisor.send(NAME, number)
    process.wait()
    look_until_started_again(supervisor, process)
    assert supervisor.failures == []


def test_a_box_that_ends_by_itself_is_found():
    process = SimpleNamespace(starts=1, wait=lambda: 0, log_path=None)
    site = SimpleNamespace(nodes=SimpleNamespace(processes={NAME: process}))
    supervisor = Supervisor(site, [NAME])
    supervisor.has_started = lambda name: True
    supervisor.judge_end(NAME, process)
    assert "unasked" in supervisor.failures[0]


def test_a_signal_before_the_program_runs_is_counted_and_no_failure(play):
    supervisor, process = play(WAITS + STARTS)
    supervisor.start_seconds = float("inf")
    supervisor.send(NAME, signal.SIGHUP)
    process.wait()
    look_until_started_again(supervisor, process)
    assert supervisor.failures == []
    assert supervisor.figures[ENDED_EARLY] == 1


def test_a_box_runs_for_longer_than_until_its_program_begins(tmp_path):
    process = Process(NAME, ["-m", "cedarchute.daemon.main", "--help"], tmp_path)
    process.start()
    try:
        used = 0.0
        while process.is_running:
            now_used = read_cpu_seconds(process.pid)
            used = now_used if math.isfinite(now_used) else used
    finally:
        process.close()
    assert 0 < measure_start_seconds() < used


def test_a_process_that_is_gone_is_past_its_start(tmp_path):
    process = Process(NAME, ["-c", "pass"], tmp_path)
    process.start()
    process.wait()
    assert read_cpu_seconds(process.pid) == math.inf
