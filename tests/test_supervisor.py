from __future__ import annotations

import eventlet
import pytest

from cedarchute import supervisor
from cedarchute.metrics import Metrics
from cedarchute.supervisor import Supervisor


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(supervisor, "RESTART_SECONDS", 0)


def test_a_task_that_fails_is_logged_counted_and_started_again(caplog):
    metrics = Metrics()
    runs = []

    def task():
        runs.append(len(runs))
        if len(runs) < 3:
            raise ValueError(f"fault {len(runs)}")

    Supervisor(metrics).start("reader", task).wait()
    assert len(runs) == 3
    assert metrics.totals["tasks.failed"] == 2
    assert [record.task for record in caplog.records] == ["reader", "reader"]
    assert "fault 1" in caplog.text


def test_a_task_that_is_killed_stays_ended():
    metrics = Metrics()
    started = Supervisor(metrics).start("reader", lambda: eventlet.sleep(60))
    eventlet.sleep(0)
    started.kill()
    assert started.dead
    assert metrics.totals["tasks.failed"] == 0
