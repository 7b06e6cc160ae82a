from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from conftest_nodes import ROUTES

from experiments.node_site import NodeSite
from experiments.raw_caller import RawCaller, build_request
from experiments.waiting import wait_until
from standins.raw_target import RawTarget, answer

PROGRAM = Path(__file__).parents[2] / "deploy" / "cedarchuted.py"
GRACE_SECONDS = 3.0
END_SECONDS = 60.0
RELOADED = "Settings changed; they apply from the next start."
# Between two tries to connect to a process that is being started.
TRY_SECONDS = 0.001


class StartedEntry:
    """An entry that listens for callers before the rest of it is imported."""

    def __init__(self, site):
        site.start_entry("entry-1", "a")
        site.kill("entry-1")
        self.address = site.callers["entry-1"]
        settings = site.folder / "entry-1.ini"
        settings.write_text(
            f"{settings.read_text()}[stop]\ngrace_seconds = {GRACE_SECONDS}\n"
        )
        self.log_path = site.folder / "early.log"
        with self.log_path.open("wb") as log:
            self.popen = subprocess.Popen(
                [sys.executable, str(PROGRAM), "--log_format", "json"],
                stdout=log,
                stderr=log,
                env={**os.environ, "CEDARCHUTE_SETTINGS": str(settings)},
            )

    def connect(self):
        """Return a caller whose connection waits in the queue of the listener."""
        deadline = time.monotonic() + END_SECONDS
        while True:
            try:
                return RawCaller(self.address)
            except ConnectionRefusedError:
                assert time.monotonic() < deadline, "nothing listens"
                time.sleep(TRY_SECONDS)

    def read_lines(self, message):
        lines = self.log_path.read_text().splitlines()
        documents = [json.loads(line) for line in lines if line.startswith("{")]
        return [found for found in documents if found["message"] == message]


@pytest.fixture
def entry(tmp_path):
    """An entry just started, and one target that answers."""
    target = RawTarget(lambda request, sock: sock.sendall(answer(request)))
    with NodeSite(tmp_path / "site") as site:
        site.start_store()
        site.configure(ROUTES)
        site.add_target("t-1", "plain", target.address)
        started = StartedEntry(site)
        try:
            yield started
        finally:
            started.popen.kill()
            started.popen.wait()
            target.close()


def test_a_sighup_at_the_start_ended_the_process(entry):
    with entry.connect() as caller:
        caller.send(build_request(b"/again/x", b"1"))
        entry.popen.send_signal(signal.SIGHUP)
        assert caller.read_answer()[0] in {200, 503}
        wait_until(lambda: entry.read_lines(RELOADED), "it is logged")
        assert entry.popen.poll() is None


@pytest.mark.parametrize(
    "numbers",
    [
        [signal.SIGTERM],
        [signal.SIGINT],
        [signal.SIGHUP, signal.SIGTERM],
        [signal.SIGTERM, signal.SIGTERM, signal.SIGHUP],
    ],
)
def test_a_sigterm_at_the_start_cut_the_callers_in_the_queue_off(entry, numbers):
    with entry.connect() as caller:
        caller.send(build_request(b"/again/x", b"1"))
        for number in numbers:
            entry.popen.send_signal(number)
        status, headers, _ = caller.read_answer()
        assert status in {200, 503}
        assert headers["connection"] == "close"
    assert entry.popen.wait(END_SECONDS) == 0
    assert len(entry.read_lines("Planned stop.")) == 1
    assert len(entry.read_lines("Stopped.")) == 1
