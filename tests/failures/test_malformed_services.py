"""Services whose answers break the rules of HTTP, behind real boxes."""

from __future__ import annotations

import json

import pytest
from support import DOMAINS

from experiments.local_target import LocalTarget
from standins.malformed_answers import (
    MALFORMED,
    MALFORMED_CHUNKS,
    RIGHT_BODY,
    UNUSUAL,
    WRONG_BODY,
    fill,
)
from standins.raw_target import RawTarget

SHAPES = {
    name: shape
    for name, shape in {**MALFORMED, **MALFORMED_CHUNKS}.items()
    if name
    in (
        "coding_before_chunks",
        "length_and_chunks",
        "length_signed",
        "name_blank",
        "name_control",
        "no_colon",
        "protocol_switched",
        "size_signed",
        "status_000",
        "status_plus_200",
        "value_nul",
    )
}
SURPLUS = b"HTTP/1.1 200 OK\r\n\r\nOTHER"


def answer_named(request, connection):
    """Answer as the body of a request says, and close the connection."""
    name = json.loads(request.body)["shape"]
    shape = SHAPES.get(name) or UNUSUAL[name]
    connection.sendall(fill(shape) + (SURPLUS if name in SHAPES else b""))
    connection.close()


@pytest.fixture(scope="module")
def odd_services(site):
    """Two services, of which one may be repeated, with one target each."""
    targets = {}
    for name, repeatable in (("post", "no"), ("look", "yes")):
        site.services[name] = {"kind": "plain", "repeatable": repeatable}
        targets[name] = RawTarget(answer_named)
        port = int(targets[name].address.rpartition(":")[2])
        site.targets[f"{name}-1"] = LocalTarget(f"{name}-1", name, port, DOMAINS[0])
    assert site.apply(site.site_text(), operation="odd", base=1).status == 200
    site.wait_in_force(2)
    yield targets
    for target in targets.values():
        target.close()


def count_asked(target, program, name):
    return sum(
        request.header("cedarchute-program") == program
        and json.loads(request.body)["shape"] == name
        for request in target.requests
    )


# MIXED: bytes behind a malformed line came as the result of a call.
@pytest.mark.parametrize("name", sorted(SHAPES))
@pytest.mark.parametrize("service", ["post", "look"])
def test_a_malformed_answer_of_a_service_is_no_result(
    odd_services, caller, service, name
):
    program = caller.open()
    reply = caller.call(program, name, service=service, body={"shape": name})
    assert reply.status >= 500
    assert reply.document["verdict"] == "may have run"
    assert WRONG_BODY.decode() not in json.dumps(reply.document)
    asked = count_asked(odd_services[service], program, name)
    assert asked == 1 or (service == "look" and asked > 1)
    # A target that only fails gets no calls for longer each time.
    sound = caller.call(program, "sound", service=service, body={"shape": "no_reason"})
    assert (sound.status, sound.document["verdict"]) == (200, "ran")


@pytest.mark.parametrize("name", sorted(UNUSUAL))
def test_an_unusual_answer_of_a_service_is_its_result(odd_services, caller, name):
    program = caller.open()
    reply = caller.call(program, name, service="post", body={"shape": name})
    assert (reply.status, reply.document["verdict"]) == (200, "ran")
    assert RIGHT_BODY.decode() in json.dumps(reply.document)
