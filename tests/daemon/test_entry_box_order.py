"""Whether calls wait in order follows from the settings of an entry box."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from cedarchute.daemon.entry_box import EntryBox
from cedarchute.metrics import Metrics
from cedarchute.settings.node_settings import parse_node_settings

SETTINGS = """
[box]
role = entry
name = e-1
failure_domain = a
region = r
ip = 10.0.0.1
peer_port = 70
[listen]
callers = 10.0.0.1:80
[platform]
store = 10.0.0.9:1
"""


def make_call_order(text):
    settings = parse_node_settings(SETTINGS + text, "box.ini")
    box = SimpleNamespace(settings=settings, metrics=Metrics(), routes=None)
    return EntryBox.make_call_order(box)


@pytest.mark.parametrize("text", ["", "[waiting]\nin_order = false\n"])
def test_calls_wait_in_no_order_unless_the_settings_say_so(text):
    assert make_call_order(text) is None


def test_calls_wait_in_a_line_of_the_set_length():
    call_order = make_call_order("[waiting]\nin_order = true\nmax_calls = 7\n")
    assert call_order.line.order.max_calls == 7
