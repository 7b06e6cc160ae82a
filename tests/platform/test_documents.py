from __future__ import annotations

import json

import pytest

from cedarchute.platform.directory_app import DirectoryApp
from cedarchute.platform.routing_document import (
    DocumentError,
    read_route_table,
    read_target,
)
from cedarchute.routing.route import Repeatability

CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-1",
            "Host": "Site.example",
            "PathPrefix": "/a/",
            "Type": "streaming",
            "TimeoutMs": 5000,
            "SloMs": 200,
            "Priority": 1,
            "Split": [
                {"Service": "x", "Weight": 90},
                {"Service": "y", "Weight": 10},
            ],
            "MaxAttempts": 2,
            "Retained": True,
            "RetentionS": 60.0,
            "Sticky": True,
        },
        {
            "Name": "r-2",
            "Host": "site.example",
            "PathPrefix": "/a/b/",
            "Type": "idempotent",
            "TimeoutMs": 2000,
            "SloMs": 400,
            "Priority": 2,
            "Service": "y",
            "MaxAttempts": 2,
        },
    ],
    "Services": [
        {"Name": "x", "HealthPath": "/h", "MaxConns": 370,
         "Engine": {"Slots": 64, "KvCapacity": 1000, "ChunkTokens": 3, "most": 12}},
        {"Name": "y", "HealthPath": "/h", "MaxConns": 110},
    ],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
               "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
}  # fmt: skip


def test_a_configuration_is_read_into_the_products_own_words():
    table = read_route_table(json.dumps(CONFIGURATION))
    assert table.version == 7
    route = table.find("site.example", b"/a/x")
    assert route.name == "r-1"
    assert route.repeatability is Repeatability.STREAM
    assert (route.timeout_seconds, route.objective_seconds) == (5.0, 0.2)
    assert [(s.service, s.weight) for s in route.shares] == [("x", 90), ("y", 10)]
    assert route.retains_turns
    assert table.find("site.example", b"/a/b/c").name == "r-2"
    assert table.find("site.example", b"/b/") is None
    assert table.find("other.example", b"/a/x") is None
    assert table.services["x"].engine.event_tokens == 3
    assert table.limits.header_seconds == 3.0


@pytest.mark.parametrize(
    "fault",
    [
        {"Version": "seven"},
        {"Routes": [{**CONFIGURATION["Routes"][0], "Type": "unheard of"}]},
        {"Routes": [{**CONFIGURATION["Routes"][0], "Split": []}]},
        {"Limits": {}},
    ],
)
def test_a_configuration_that_is_none_is_refused(fault):
    with pytest.raises(DocumentError):
        read_route_table(json.dumps({**CONFIGURATION, **fault}))


def test_a_target_is_read_and_one_that_is_none_is_refused():
    document = {
        "Service": "x",
        "Address": "10.0.0.1:80",
        "Zone": "a",
        "Slots": 64,
        "State": "draining",
        "ColdLeftMs": 1500,
    }
    entry = read_target("i-1", json.dumps(document))
    assert (entry.id, str(entry.address), entry.ready) == ("i-1", "10.0.0.1:80", False)
    assert entry.warmup_seconds == 1.5
    for broken in ("{}", "nonsense", json.dumps({**document, "Address": "name:80"})):
        with pytest.raises(DocumentError):
            read_target("i-1", broken)


class Directory:
    def list_caller_addresses(self, domain, region, is_behind):
        return [f"{domain}/{region}" + ("/all" if is_behind else "")]


def ask(app, path, query=""):
    answer = []

    def start(status, fields):
        answer.append(status)

    body = b"".join(app({"PATH_INFO": path, "QUERY_STRING": query}, start))
    return answer[0], body


def test_callers_and_the_platform_get_their_answers():
    ready = [False]
    behind = [False]
    app = DirectoryApp(Directory(), lambda: ready[0], lambda: behind[0], "own", "here")
    assert ask(app, "/readyz")[0].startswith("503")
    ready[0] = True
    assert ask(app, "/readyz")[0].startswith("200")
    _, body = ask(app, "/resolve", "Name=x&Region=r&Zone=z")
    assert json.loads(body) == {"Addresses": ["z/r"], "TtlS": 1}
    assert json.loads(ask(app, "/resolve")[1])["Addresses"] == ["own/here"]
    behind[0] = True
    assert json.loads(ask(app, "/resolve")[1])["Addresses"] == ["own/here/all"]
    assert ask(app, "/other")[0].startswith("404")


def test_a_box_that_is_unfit_names_the_others_and_itself_only_if_alone():
    class Boxes:
        addresses = ("10.0.0.1:80", "10.0.0.2:80")

        def list_caller_addresses(self, domain, region, is_behind):
            return list(self.addresses)

    unfit = [""]
    boxes = Boxes()
    app = DirectoryApp(
        boxes, lambda: True, lambda: False, "own", "here", lambda: unfit[0]
    )
    assert len(json.loads(ask(app, "/resolve")[1])["Addresses"]) == 2
    unfit[0] = "10.0.0.1:80"
    assert json.loads(ask(app, "/resolve")[1])["Addresses"] == ["10.0.0.2:80"]
    boxes.addresses = ("10.0.0.1:80",)
    assert json.loads(ask(app, "/resolve")[1])["Addresses"] == ["10.0.0.1:80"]
