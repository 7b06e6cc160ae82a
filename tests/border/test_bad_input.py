from __future__ import annotations

import http.client

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

OPEN = "/v1/programs"


@pytest.fixture(scope="module")
def program(site):
    address = site.callers["box-1"]
    reply = site.http.post(address, OPEN, {"workspace": "members"})
    return reply.document["program"]


@pytest.mark.parametrize(
    ("body", "code", "part"),
    [
        ({"workspace": "members", "budget": {"tokens": -1}}, "bad_body", "tokens"),
        ({"workspace": "nobody"}, "unknown_workspace", "[workspace nobody]"),
        ({"workspace": "members", "color": 1}, "bad_body", "known fields are"),
        ({}, "bad_body", "workspace"),
        (
            {"workspace": "members", "budget": {"tokens": 10**9}},
            "budget_too_large",
            "at most",
        ),
        ({"workspace": "members", "parent": "p"}, "unknown_program", "POST"),
    ],
)
def test_a_wrong_opening_is_explained(site, body, code, part):
    reply = site.http.post(site.callers["box-1"], OPEN, body)
    assert reply.document["code"] == code
    assert part in reply.document["detail"]
    assert reply.document["verdict"] == "not run"
    assert reply.headers["content-type"] == "application/problem+json"


@pytest.mark.parametrize(
    ("body", "code"),
    [
        ({"service": "agent"}, "bad_body"),
        ({"service": "agent", "messages": [], "body": None}, "bad_body"),
        ({"service": "agent", "body": 1}, "wrong_content"),
        ({"service": "none", "body": 1}, "unknown_service"),
        (
            {"service": "agent", "messages": [{"role": "king", "content": ""}]},
            "bad_body",
        ),
        ({"service": "balance", "body": 1, "turn": 0}, "bad_body"),
        ({"service": "balance", "body": 1, "turn": 99}, "out_of_order"),
        ({"service": "balance", "body": 1, "deadline_seconds": -1}, "bad_body"),
    ],
)
def test_a_wrong_call_is_explained(site, program, body, code):
    reply = site.http.request(
        "POST",
        site.callers["box-2"],
        f"{OPEN}/{program}/calls",
        body,
        {"Idempotency-Key": "bad"},
    )
    assert reply.document["code"] == code
    assert reply.document["verdict"] == "not run"


def test_a_key_is_needed_and_checked(site, program):
    for headers in ({}, {"Idempotency-Key": "a b"}, {"Idempotency-Key": "x" * 200}):
        reply = site.http.request(
            "POST",
            site.callers["box-1"],
            f"{OPEN}/{program}/calls",
            {"service": "balance", "body": 1},
            headers,
        )
        assert reply.document["code"] == "bad_key"


def test_a_body_that_is_too_large_is_refused(site):
    host, port = site.callers["box-1"].split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.putrequest("POST", OPEN)
    connection.putheader("content-length", str(10**9))
    connection.endheaders()
    response = connection.getresponse()
    assert response.status == 413
    assert b"body_too_large" in response.read()
    connection.close()


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    path=st.sampled_from(
        [
            "/v1/programs",
            "/v1/programs/p-x.1-1-1/calls",
            "/peer/append",
            "/peer/seal",
            "/peer/heartbeat",
            "/operators/file",
            "/v1/none",
        ]
    ),
    method=st.sampled_from(["POST", "PUT", "GET", "DELETE"]),
    data=st.one_of(
        st.binary(max_size=200),
        st.text(max_size=100).map(str.encode),
        st.sampled_from([b"{", b"null", b"[]", b'{"a":', b"1e999", b"\xff\xfe"]),
    ),
)
def test_malformed_input_never_breaks_a_box(site, path, method, data):
    is_peer = path.startswith(("/peer", "/operators"))
    address = (site.peers if is_peer else site.callers)["box-3"]
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    headers = {"content-type": "application/json", "Idempotency-Key": "fuzz"}
    connection.request(method, path, data, headers)
    response = connection.getresponse()
    response.read()
    connection.close()
    assert 200 <= response.status < 500
    assert site.processes["box-3"].is_running
