from __future__ import annotations

import pytest

from cedarchute.fleet.metrics_app import MetricsApp
from cedarchute.metrics import Metrics


@pytest.fixture
def get():
    """Return a function that requests a path and returns status and text."""
    metrics = Metrics()
    metrics.count("calls.answered")
    app = MetricsApp(metrics)

    def ask(path):
        started = []
        body = app({"PATH_INFO": path}, lambda status, fields: started.append(status))
        return started[0], b"".join(body).decode()

    return ask


def test_the_page_holds_the_counters(get):
    status, text = get("/metrics")
    assert status == "200 OK"
    assert 'name="calls.answered"' in text


def test_no_other_page_is_served(get):
    assert get("/fleet/state") == ("404 Not Found", "")
