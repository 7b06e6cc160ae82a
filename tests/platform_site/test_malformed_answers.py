"""Answers of targets whose heads break the rules of HTTP, through real entry boxes."""

from __future__ import annotations

import pytest
from conftest_nodes import wait_gone, wait_known
from turn_callers import turn_headers

from experiments.raw_caller import call
from standins.malformed_answers import (
    MALFORMED,
    RIGHT_BODY,
    UNUSUAL,
    WRONG_BODY,
    fill_for,
)
from standins.raw_target import RawTarget, read_id

# Well below the timeout of the routes; a call that waits for so long gets 504.
PATIENCE_MS = 4000
BAD_GATEWAY = 502
PATHS = [b"/once/", b"/again/", b"/stream/", b"/turn/"]


def write_named(templates):
    """Return a script that answers as the path of a request says."""

    def script(request, connection):
        name = request.line.split()[1].rpartition(b"/")[2].decode()
        connection.sendall(fill_for(templates[name], request))

    return script


@pytest.fixture(scope="module")
def odd_targets(nodes):
    """Targets of both services for all tests of this module, the only ones there."""
    script = write_named({**MALFORMED, **UNUSUAL})
    targets = {"plain": RawTarget(script), "model": RawTarget(script)}
    for service, target in targets.items():
        target.id = f"t-odd-{service}"
        nodes.add_target(target.id, service, target.address)
    wait_known(nodes, targets.values())
    yield targets
    for target in targets.values():
        nodes.remove(f"servers/{target.id}")
        target.close()
    for target in targets.values():
        wait_gone(nodes, target)


def send(address, path, call_id):
    headers = turn_headers("malformed") if path.startswith(b"/turn") else b""
    return call(address, path, call_id, headers=headers, patience=PATIENCE_MS)


# MIXED: status 000 was passed on as an answer; 101 was told only at the time limit.
@pytest.mark.parametrize("shape", sorted(MALFORMED))
@pytest.mark.parametrize("path", PATHS)
def test_a_malformed_answer_is_a_failure_at_once(odd_targets, entry, path, shape):
    call_id = f"ma{path.decode()}{shape}".encode()
    status, headers, body = send(entry, path + shape.encode(), call_id)
    assert status == BAD_GATEWAY
    assert WRONG_BODY not in body
    assert "x" not in headers
    assert "server-seal" not in headers
    ids = [
        read_id(request)
        for target in odd_targets.values()
        for request in target.requests
    ]
    assert ids.count(call_id) == 1 or path == b"/again/"


@pytest.mark.parametrize("shape", sorted(UNUSUAL))
@pytest.mark.parametrize("path", [b"/once/", b"/again/"])
def test_an_unusual_head_that_keeps_the_rules_is_accepted(
    odd_targets, entry, path, shape
):
    call_id = f"mb{path.decode()}{shape}".encode()
    status, headers, body = send(entry, path + shape.encode(), call_id)
    assert (status, body) == (200, RIGHT_BODY)
    assert headers["server-seal"] == f"seal-{call_id.decode()}"
