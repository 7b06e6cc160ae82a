from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from experiments.waiting import wait_until

STOP_SECONDS = 60.0


def list_children(process):
    tasks = Path(f"/proc/{process.pid}/task").glob("*/children")
    return [int(number) for task in tasks for number in task.read_text().split()]


def is_running(number):
    try:
        stat = Path(f"/proc/{number}/stat").read_text()
    except OSError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_soak_that_is_ended_takes_its_boxes_with_it(number):
    """Its terminal hung up, and five of its daemons ran on for 50 minutes."""
    command = ["-W", "ignore", "-m", "experiments.soak.main", "--runs", "1"]
    soak = subprocess.Popen([sys.executable, *command, "--seed", "1"])
    children = []
    try:
        wait_until(lambda: list_children(soak)[4:], "boxes run")
        children = list_children(soak)
        soak.send_signal(number)
        assert soak.wait(STOP_SECONDS) == 128 + number
        wait_until(lambda: not any(map(is_running, children)), "the boxes are gone")
    finally:
        soak.kill()
        for child in filter(is_running, children):
            os.kill(child, signal.SIGKILL)
