"""The setting of an entry box reaches the check of limits."""

from __future__ import annotations

import socket

import pytest

from cedarchute.daemon.entry_box import EntryBox
from cedarchute.metrics import Metrics
from cedarchute.settings.node_settings import parse_node_settings

ENTRY = """
[box]
role = entry
name = entry-1
failure_domain = a
region = r
ip = 127.0.0.1
peer_port = {ports[0]}
[listen]
callers = 127.0.0.1:{ports[1]}
[platform]
store = 127.0.0.1:{ports[2]}
[fair_share]
whole_programs = {is_on}
"""


def find_free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


@pytest.mark.parametrize("is_on", [True, False])
def test_whole_programs_follow_the_setting(is_on):
    text = ENTRY.format(ports=find_free_ports(3), is_on=str(is_on).lower())
    box = EntryBox(parse_node_settings(text, "box.ini"), "box.ini", Metrics())
    try:
        assert box.server.handle.__self__.quota_check.whole_programs is is_on
    finally:
        box.server.listener.close()
        for listener, _ in box.apps:
            if listener is not None:
                listener.close()
