"""Calls that need no holder, while every holder is silent."""

from __future__ import annotations

from conftest_nodes import wait_known
from turn_callers import take_turn

from experiments.raw_caller import call
from experiments.waiting import wait_until
from standins.raw_target import RawTarget, answer

HOLDERS = ("holder-1", "holder-2", "holder-3")


def respond(request, connection):
    connection.sendall(answer(request))


def resolve(site, entry):
    path = "/resolve?Name=site.example&Region=region&Zone=a"
    reply = site.http.request("GET", site.directory[entry], path)
    return set(reply.document["Addresses"]) if reply.status == 200 else None


def knows_isolated(site, entry, other):
    """Whether an entry has heard that another one reaches no holders."""
    lines = site.processes[entry].read_log().splitlines()
    heard = [line for line in lines if f'"box": "{other}", "role": "entry"' in line]
    return bool(heard) and "Box is registered." not in heard[-1]


def test_callers_get_addresses_and_plain_calls_while_holders_are_silent(own_nodes):
    site = own_nodes
    target = RawTarget(respond)
    target.id = "t-plain"
    site.add_target(target.id, "plain", target.address)
    wait_known(site, [target])
    for name in HOLDERS:
        site.processes[name].pause()
    for entry, address in site.callers.items():
        assert take_turn(address, f"t-{entry}", b"a", "p")[0] == 503
    for entry in site.callers:
        for other in site.callers:
            wait_until(
                lambda e=entry, o=other: knows_isolated(site, e, o), f"{other} is known"
            )
    for entry, address in site.callers.items():
        assert resolve(site, entry) == set(site.callers.values())
        assert call(address, b"/once/x", f"c-{entry}".encode(), b"b")[0] == 200
