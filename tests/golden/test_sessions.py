from __future__ import annotations

import os

import pytest
from session import Session
from support import Background, count_ran, make_messages, open_at

from experiments.caller import Caller
from experiments.local_site import LocalSite
from experiments.waiting import wait_until

IS_WRITTEN = os.environ.get("CEDARCHUTE_WRITE_GOLDEN") == "1"
DEPLOYMENTS = {
    "vanua": {
        "model": "agent-llm",
        "plain": "core-api",
        "once": "core-transfer",
        "domains": 4,
        "question": "Please settle the disputed transfer of 40 dollars.",
        "effect": {"post": "transfer", "amount": 40},
    },
    "shrestha": {
        "model": "vichar",
        "plain": "patra",
        "once": "patra-flag",
        "domains": 3,
        "question": "Is paragraph 7 of chapter 2 borrowed from the library?",
        "effect": {"issue": "flag", "paragraph": 7},
    },
}


@pytest.fixture(params=list(DEPLOYMENTS))
def deployment(request, tmp_path):
    keys = DEPLOYMENTS[request.param]
    domains = [f"{request.param}-{n}" for n in range(keys["domains"])]
    with LocalSite(tmp_path / "run") as site:
        site.services = {
            keys["model"]: {"kind": "model", "model": "small"},
            keys["plain"]: {"kind": "plain"},
            keys["once"]: {"kind": "plain", "repeatable": "no"},
        }
        site.start_store()
        for number in range(2):
            site.start_engine(f"runner-{number}", keys["model"], domains[number])
        site.start_service("api-0", keys["plain"], domains[0])
        site.start_service("transfer-0", keys["once"], domains[1])
        for number in range(4):
            site.start_box(f"box-{number + 1}", domains[number % len(domains)])
        site.wait_targets()
        site.wait_boxes()
        assert site.apply(site.site_text()).status == 200
        site.wait_in_force(1)
        site.wait_held()
        yield request.param, keys, site


def run_start(session, caller, program, keys):
    messages = make_messages(keys["question"])
    request = {"service": keys["model"], "messages": messages, "max_tokens": 6}
    session.call(caller, program, "ask", **request)
    session.call(caller, program, "look", service=keys["plain"], body={"page": 1})


def run_end(session, caller, program, keys):
    session.call(
        caller,
        program,
        "conclude",
        service=keys["model"],
        messages=make_messages("Conclude."),
        max_tokens=4,
    )
    session.show(caller, program)
    session.note("end", caller.end(program).document)
    late = {"service": keys["plain"], "body": 1}
    session.call(caller, program, "late", **late)


def test_a_session_at_rest(deployment):
    name, keys, site = deployment
    session = Session(site)
    program, caller = open_at(site, "box-1")
    run_start(session, caller, program, keys)
    session.call(caller, program, "act", service=keys["once"], body=keys["effect"])
    session.call(caller, program, "act", service=keys["once"], body=keys["effect"])
    child = caller.open(parent=program, tokens=500, calls=2)
    session.call(
        caller,
        child,
        "help",
        service=keys["model"],
        messages=make_messages("Help with this part."),
        max_tokens=4,
    )
    session.note("end", caller.end(child).document)
    run_end(session, caller, program, keys)
    session.check(f"{name}-at-rest", IS_WRITTEN)


def test_a_session_whose_home_is_lost(deployment):
    name, keys, site = deployment
    session = Session(site)
    program, caller = open_at(site, "box-1")
    run_start(session, caller, program, keys)
    effect = {**keys["effect"], "seconds": 3}
    acting = Background(
        session.call, caller, program, "act", service=keys["once"], body=effect
    )
    wait_until(lambda: count_ran(site, "transfer-0", program, "act"), "sent")
    site.processes["box-1"].kill()
    acting.get()
    session.call(
        Caller([site.callers["box-3"]]),
        program,
        "act",
        service=keys["once"],
        body=effect,
    )
    run_end(session, caller, program, keys)
    session.note("ran", count_ran(site, "transfer-0", program, "act"))
    session.check(f"{name}-home-lost", IS_WRITTEN)
