from __future__ import annotations

from werkzeug.test import Client

from cedarchute.border.web_app import WebApp
from cedarchute.metrics import Metrics


def test_a_fault_within_a_box_is_not_said_not_to_have_run():
    """A handler may fail after its call has run."""
    app = WebApp(1_000, Metrics())

    def fail(_):
        raise RuntimeError("internal fault")

    app.add("POST", "/calls", fail)
    reply = Client(app).post("/calls")
    assert reply.status_code == 500
    assert reply.json["code"] == "internal"
    assert reply.json["verdict"] == "may have run"
