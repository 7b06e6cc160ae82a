"""The settings of an entry box reach its choice of targets and what it tells."""

from __future__ import annotations

import pytest

from cedarchute.daemon.entry_box import EntryBox
from cedarchute.metrics import Metrics
from cedarchute.relay.input_limits import InputLimits
from cedarchute.routing.route import Repeatability, Route, ServiceShare
from cedarchute.routing.route_table import RouteTable
from cedarchute.routing.service import Service
from cedarchute.settings.node_settings import parse_node_settings
from experiments.ports import HOST, find_free_port

ENTRY = """
[box]
role = entry
name = entry-1
failure_domain = a
region = r
ip = {host}
peer_port = {ports[0]}
[listen]
callers = {host}:{ports[1]}
[platform]
store = {host}:{ports[2]}
[placement]
share_knowledge = {is_on}
by_pace = {is_on}
"""


def make_table(max_targets):
    shares = (ServiceShare("model", 1),)
    kind = Repeatability.STREAM
    route = Route("r", "h", b"/", kind, shares, 3.0, 0.2, max_targets=max_targets)
    services = {"model": Service("model", 10)}
    return RouteTable(1, (route,), services, InputLimits())


@pytest.fixture
def make_box():
    made = []

    def start(is_on, max_targets):
        ports = [find_free_port() for _ in range(3)]
        text = ENTRY.format(host=HOST, ports=ports, is_on=str(is_on).lower())
        box = EntryBox(parse_node_settings(text, "box.ini"), "box.ini", Metrics())
        made.append(box)
        box.routes.table = make_table(max_targets)
        box.choice.loads["t-1@1"].active = 2
        return box

    yield start
    for box in made:
        box.server.listener.close()
        for listener, _ in box.apps:
            if listener is not None:
                listener.close()


def test_a_box_whose_streams_have_one_attempt_tells_of_targets(make_box):
    box = make_box(is_on=True, max_targets=1)
    assert box.choice.placement.applies_to("model")
    assert [report.active for report in box.news.make_own().reports] == [2]


@pytest.mark.parametrize(("is_on", "max_targets"), [(False, 1), (True, 2)])
def test_any_other_box_tells_nothing_and_selects_as_before(
    make_box, is_on, max_targets
):
    box = make_box(is_on, max_targets)
    assert not box.choice.placement.applies_to("model")
    assert box.news.make_own() is None


def test_a_contended_box_tells_only_of_itself(make_box):
    box = make_box(is_on=True, max_targets=2)
    box.settings.contracts["pressure"] = True
    assert box.news.make_own().reports == ()
