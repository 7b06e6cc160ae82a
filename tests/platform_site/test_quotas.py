"""The limits of workspaces, over all boxes."""

from __future__ import annotations

import itertools
import time

import pytest
from conftest_nodes import ROUTES, start_nodes
from turn_callers import say

from experiments.raw_caller import call
from experiments.waiting import wait_until
from standins.raw_target import RawTarget, answer

KEY = "key-of-a-workspace-with-a-limit"
FREE_KEY = "key-of-a-workspace-without"
_numbers = itertools.count(1)


def make_workspaces(rate, burst):
    limited = {"Name": "limited", "ApiKeys": [KEY], "RatePerS": rate, "Burst": burst}
    free = {"Name": "free", "ApiKeys": [FREE_KEY], "RatePerS": 0, "Burst": 0}
    nothing = {"Name": "nothing", "ApiKeys": ["x"]}
    return [limited, free, nothing]


def done(request, connection):
    connection.sendall(answer(request, b"done"))


@pytest.fixture
def limited(tmp_path):
    """Boxes that let a workspace make a call in five seconds, ten at once."""
    with start_nodes(tmp_path, make_workspaces(0.2, 10)) as site:
        site.plain = RawTarget(done)
        site.model = RawTarget(say(b"word"))
        site.add_target("t-plain", "plain", site.plain.address)
        site.add_target("t-model", "model", site.model.address)
        for box in site.callers.values():
            wait_until(lambda b=box: ask(b, FREE_KEY)[0] == 200, "calls are served")
        yield site
        site.plain.close()
        site.model.close()


def ask(address, key=KEY):
    name = b"q%d" % next(_numbers)
    headers = f"Authorization: Token {key}\r\n".encode()
    return call(address, b"/once/x", name, b"a", headers=headers)


def test_a_limit_is_one_over_all_boxes_and_binds_nobody_else(limited):
    boxes = list(limited.callers.values())
    before = len(limited.plain.requests)
    began = time.monotonic()
    answers = [ask(boxes[number % 2]) for number in range(40)]
    seconds = time.monotonic() - began
    statuses = [status for status, _, _ in answers]
    served = statuses.count(200)
    assert 1 <= served <= 10 + 0.2 * seconds + 1
    # A machine that stalls may keep a keeper from answering in time: then it is 503.
    assert served + statuses.count(429) + statuses.count(503) == 40
    assert len(limited.plain.requests) == before + served
    # A keeper has another call after fifteen seconds.
    waits = [float(h["retry-after"]) for status, h, _ in answers if status == 429]
    assert waits
    assert all(0.1 <= wait <= 15 for wait in waits)
    assert max(waits) > 1.0
    assert [ask(box, FREE_KEY)[0] for box in boxes] == [200, 200]


def test_a_new_limit_binds_in_both_directions(limited):
    box = limited.callers["entry-1"]
    limited.configure(ROUTES, make_workspaces(300, 300))

    def is_answered(status):
        return lambda: [ask(box)[0] for _ in range(10)] == [status] * 10

    wait_until(is_answered(200), "the higher limit is in force")
    # A keeper has another call after a minute.
    limited.configure(ROUTES, make_workspaces(0.05, 1))
    wait_until(is_answered(429), "the lower limit is in force")
    limited.configure(ROUTES, make_workspaces(300, 300))
    wait_until(is_answered(200), "the higher limit is in force again")


def test_calls_pass_while_a_keeper_is_lost_and_none_when_all_are(limited):
    box = limited.callers["entry-1"]
    limited.configure(ROUTES, make_workspaces(300, 300))

    def are_served():
        return [ask(box)[0] for _ in range(10)] == [200] * 10

    wait_until(are_served, "the higher limit is in force")
    limited.kill("holder-1")
    wait_until(are_served, "the other keepers are asked")
    for name in ("holder-2", "holder-3"):
        limited.kill(name)
    status, headers, _ = ask(box)
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert ask(box, FREE_KEY)[0] == 200
