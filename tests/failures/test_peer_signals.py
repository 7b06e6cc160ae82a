from __future__ import annotations

import os
import signal

import pytest

from experiments.local_site import LocalSite
from experiments.waiting import wait_until


@pytest.fixture
def site(tmp_path):
    """A box that starts while its store turns every call away."""
    with LocalSite(tmp_path / "run") as site:
        site.start_store()
        site.switch_store(down=True)
        site.start_box("box-1", "a")
        yield site


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_box_that_waited_for_its_store_could_not_be_stopped(site, number):
    process = site.processes["box-1"]
    wait_until(lambda: "waiting to" in process.read_log(), "it waits")
    os.kill(process.pid, signal.SIGHUP)
    os.kill(process.pid, number)
    assert process.wait() == 0
    assert "signal=SIGHUP" in process.read_log()
    assert f"signal={signal.Signals(number).name}" in process.read_log()


def test_a_sighup_ended_a_box(broken_site):
    process = broken_site.processes["box-1"]
    os.kill(process.pid, signal.SIGHUP)
    wait_until(lambda: "Settings changed" in process.read_log(), "it is logged")
    assert broken_site.box_status("box-1") is not None
