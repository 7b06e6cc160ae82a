from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from experiments.local_site import LocalSite
from experiments.node_site import NodeSite
from experiments.process import Process, ProcessClosedError
from experiments.waiting import wait_until

SLEEPER = ["-c", "import time; time.sleep(300)"]
END_SECONDS = 60.0
# A site whose process has been forked, but not returned by Popen yet.
SCRIPT = """
import pathlib, subprocess, sys, time
from experiments.{module} import {site}
from experiments.signals import exit_on_signals

class SlowPopen(subprocess.Popen):
    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        pathlib.Path(sys.argv[1], "new").write_text(str(self.pid))
        pathlib.Path(sys.argv[1], "new").rename(pathlib.Path(sys.argv[1], "pid"))
        time.sleep(1)

subprocess.Popen = SlowPopen
exit_on_signals()
with {site}(pathlib.Path(sys.argv[1], "run")) as site:
    site.add("sleeper", {arguments})
    time.sleep(300)
"""


def is_running(number):
    try:
        stat = Path(f"/proc/{number}/stat").read_text()
    except OSError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


@pytest.fixture
def process(tmp_path):
    process = Process("sleeper", SLEEPER, tmp_path)
    yield process
    process.close()


@pytest.mark.parametrize(
    "numbers",
    [
        [signal.SIGHUP],
        [signal.SIGINT],
        [signal.SIGTERM],
        [signal.SIGHUP, signal.SIGTERM],
    ],
)
@pytest.mark.parametrize(
    ("module", "site"), [("node_site", "NodeSite"), ("local_site", "LocalSite")]
)
def test_a_signal_while_a_process_starts_ends_that_process(
    tmp_path, numbers, module, site
):
    """The exception came between the fork and the assignment of its id."""
    script = SCRIPT.format(module=module, site=site, arguments=SLEEPER)
    parent = subprocess.Popen([sys.executable, "-c", script, str(tmp_path)])
    path = tmp_path / "pid"
    child = None
    try:
        wait_until(path.exists, "the process is forked")
        child = int(path.read_text())
        for number in numbers:
            parent.send_signal(number)
        # Which of several pending signals comes first is up to the system.
        assert parent.wait(END_SECONDS) in {128 + number for number in numbers}
        assert not is_running(child)
    finally:
        parent.kill()
        if child is not None and is_running(child):
            os.kill(child, signal.SIGKILL)


@pytest.mark.parametrize("site_class", [NodeSite, LocalSite])
def test_a_site_that_has_ended_starts_nothing(tmp_path, site_class):
    """A thread that starts a killed process again may be late."""
    with site_class(tmp_path) as site:
        process = site.add("sleeper", SLEEPER)
        process.kill()
    with pytest.raises(ProcessClosedError):
        process.start()
    with pytest.raises(ProcessClosedError):
        site.add("other", SLEEPER)
    assert not any(found.is_running for found in site.processes.values())


def test_a_killed_process_can_be_started_again(process):
    process.start()
    first = process.pid
    process.kill()
    process.start()
    assert process.is_running
    assert process.pid != first
