"""Whose a call is, by the key that it carries."""

from __future__ import annotations

import itertools
import threading
import time

import pytest
from conftest_nodes import ROUTES, make_route, start_nodes
from turn_callers import say, turn_headers

from experiments.raw_caller import call
from experiments.waiting import wait_until
from standins.raw_target import RawTarget, answer

KEY_A = "a-key-of-the-first-8wuakn2f"
OTHER_KEY_A = "another-key-of-the-first-a828m82t"
KEY_B = "a-key-of-the-second-x19v0q"
KEYS = (KEY_A, OTHER_KEY_A, KEY_B)
WORKSPACES = [
    {"Name": "first", "ApiKeys": [KEY_A, OTHER_KEY_A], "Priority": 1},
    {"Name": "second", "ApiKeys": [KEY_B], "Priority": 2},
]
PUBLIC = make_route("/open/", "idempotent", "plain", Public=True)
ROUTES_WITH_PUBLIC = [*ROUTES, PUBLIC]
_numbers = itertools.count(1)


def done(request, connection):
    connection.sendall(answer(request, b"done"))


def start_site(folder):
    return start_nodes(folder, WORKSPACES, ROUTES_WITH_PUBLIC, revoke_ms=5000)


@pytest.fixture(scope="module")
def keyed(tmp_path_factory):
    """Boxes that ask for keys, one target for plain calls and one for streams."""
    with start_site(tmp_path_factory.mktemp("keyed")) as site:
        site.plain = RawTarget(done)
        site.model = RawTarget(say(b"word"))
        site.add_target("t-plain", "plain", site.plain.address)
        site.add_target("t-model", "model", site.model.address)
        entry = site.callers["entry-1"]
        wait_until(lambda: ask(entry, with_key(KEY_A))[0] == 200, "calls are served")
        other = site.callers["entry-2"]
        wait_until(lambda: ask(other, with_key(KEY_A))[0] == 200, "calls are served")
        yield site
        site.plain.close()
        site.model.close()


def with_key(key, scheme="Token"):
    return f"Authorization: {scheme} {key}\r\n".encode()


def ask(address, headers=b"", path=b"/once/x"):
    name = b"k%d" % next(_numbers)
    return call(address, path, name, b"a", headers=headers)


def read_last(target):
    return target.requests[-1]


def test_a_target_learns_of_the_workspace_and_not_of_the_key(keyed):
    forged = b"Tenant: second\r\ntenant: third\r\n"
    status, _, _ = ask(keyed.callers["entry-1"], forged + with_key(KEY_A))
    assert status == 200
    head = read_last(keyed.plain).head
    assert b"first" in head
    assert b"second" not in head
    assert b"third" not in head
    assert KEY_A.encode() not in head
    assert b"authorization" not in head.lower()


@pytest.mark.parametrize(
    "headers",
    [
        b"",
        with_key("unknown"),
        with_key(KEY_A[:-1]),
        with_key(KEY_A.upper()),
        with_key(KEY_A, "Bearer"),
        with_key(f"{KEY_A} {KEY_A}"),
        with_key(""),
        b"Authorization: Token\r\n",
        b"Authorization:\r\n",
        with_key(KEY_A) + with_key(KEY_A),
        with_key(KEY_A) + with_key("unknown"),
        with_key("x" * 3000),
        with_key("\u00e9\u00e8"),
        b"Tenant: first\r\n",
    ],
)
def test_what_is_no_key_of_a_workspace_is_refused_and_not_run(keyed, headers):
    before = len(keyed.plain.requests)
    status, answered, _ = ask(keyed.callers["entry-1"], headers)
    assert status == 401
    assert "server-seal" not in answered
    assert len(keyed.plain.requests) == before


def test_a_key_that_fills_the_head_is_refused(keyed):
    assert ask(keyed.callers["entry-1"], with_key("x" * 10_000))[0] in (401, 431)


def test_a_public_route_needs_no_key_and_hands_none_on(keyed):
    entry = keyed.callers["entry-1"]
    for headers in (b"", with_key("unknown"), b"Tenant: second\r\n"):
        assert ask(entry, headers, b"/open/x")[0] == 200
        head = read_last(keyed.plain).head
        assert b"tenant" not in head.lower()
        assert b"authorization" not in head.lower()
    assert ask(entry, with_key(KEY_B), b"/open/x")[0] == 200
    assert b"Tenant: second" in read_last(keyed.plain).head


def test_every_key_of_a_workspace_goes_on_with_its_turns(keyed):
    entry, other = keyed.callers["entry-1"], keyed.callers["entry-2"]
    assert turn(entry, "ka1", b"one", "ka", KEY_A) == 200
    assert turn(other, "ka2", b"two", "ka", OTHER_KEY_A, previous="ka1") == 200
    assert read_last(keyed.model).body == b"oneword\ntwo"


def test_a_turn_of_another_workspace_is_none(keyed):
    entry, other = keyed.callers["entry-1"], keyed.callers["entry-2"]
    assert turn(entry, "kb1", b"secret", "kb", KEY_A) == 200
    before = len(keyed.model.requests)
    for number, box in enumerate((entry, other)):
        for program in ("kb", "another"):
            name = f"kb2-{number}-{program}"
            assert turn(box, name, b"x", program, KEY_B, previous="kb1") == 404
    assert len(keyed.model.requests) == before


def test_two_workspaces_have_a_budget_each_under_one_name(keyed):
    entry = keyed.callers["entry-1"]
    assert turn(entry, "kc1", b"x", "kc", KEY_A, budget=30) == 200
    assert turn(entry, "kc2", b"x", "kc", KEY_B, budget=30) == 200
    assert turn(entry, "kc3", b"x", "kc", KEY_A, budget=30) == 402


def turn(address, name, body, program, key, **terms):
    headers = turn_headers(program, **terms) + with_key(key)
    return call(address, b"/turn/x", name.encode(), body, headers=headers)[0]


def test_no_key_shows_in_any_log_page_or_disk(keyed):
    entry = keyed.callers["entry-1"]
    ask(entry, with_key(KEY_A))
    ask(entry, with_key("unknown-" + KEY_B))
    keyed.configure(ROUTES_WITH_PUBLIC, [*WORKSPACES, WORKSPACES[0]])
    keyed.configure(ROUTES_WITH_PUBLIC, [{"Name": "x", "ApiKeys": [KEY_A, KEY_A]}] * 2)
    wait_until(
        lambda: keyed.count("entry-1", "store.configuration_turned_away") >= 1,
        "the configurations are turned away",
    )
    found = [keyed.processes[name].read_log() for name in keyed.peers]
    for address in keyed.peers.values():
        reply = keyed.http.request("GET", address, "/metrics")
        found.append(str(reply.document))
    for path in keyed.folder.rglob("*-data/*"):
        found.append(path.read_bytes().decode("latin-1"))
    everything = "\n".join(found)
    for key in KEYS:
        assert key not in everything
    # The last good configuration stays.
    assert ask(entry, with_key(KEY_A))[0] == 200
    assert ask(entry, with_key(KEY_B))[0] == 200


def test_a_key_that_was_taken_away_is_refused_everywhere(tmp_path):
    with start_site(tmp_path) as site:
        target = RawTarget(done)
        site.add_target("t", "plain", target.address)
        boxes = list(site.callers.values())
        for box in boxes:
            wait_until(lambda b=box: ask(b, with_key(KEY_A))[0] == 200, "served")
        site.configure(ROUTES, [{**WORKSPACES[0], "ApiKeys": [OTHER_KEY_A]}])
        for box in boxes:
            wait_until(lambda b=box: ask(b, with_key(KEY_A))[0] == 401, "taken away")
            assert ask(box, with_key(OTHER_KEY_A))[0] == 200
            assert ask(box, with_key(KEY_B))[0] == 401
        site.configure(ROUTES, [])
        for box in boxes:
            wait_until(lambda b=box: ask(b, with_key(OTHER_KEY_A))[0] == 401, "all")
        target.close()


def test_a_box_that_cannot_prove_its_configuration_says_so(tmp_path):
    with start_site(tmp_path) as site:
        target = RawTarget(done)
        site.add_target("t", "plain", target.address)
        box = site.callers["entry-1"]
        wait_until(lambda: ask(box, with_key(KEY_A))[0] == 200, "served")
        site.switch_store(down=True)
        wait_until(lambda: ask(box, with_key(KEY_A))[0] == 503, "no proof any more")
        status, headers, _ = ask(box, with_key(KEY_A))
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert ask(box, with_key("unknown"))[0] == 503
        assert ask(box)[0] == 401
        assert ask(box, path=b"/open/x")[0] == 200
        site.switch_store(down=False)
        wait_until(lambda: ask(box, with_key(KEY_A))[0] == 200, "proven again")
        target.close()


def test_a_turn_of_a_public_route_is_not_unknown_to_a_box_that_was_frozen(tmp_path):
    """The box must not look for the records of a program that has no workspace."""
    route = make_route(
        "/open/", "streaming", "model", Public=True, Retained=True, RetentionS=60.0
    )
    with start_nodes(tmp_path / "s", WORKSPACES, [route], revoke_ms=1000) as site:
        target = RawTarget(say(b"word"))
        site.add_target("t-model", "model", target.address)
        informed, frozen = site.callers["entry-1"], site.callers["entry-2"]

        def take(address, turn, previous=""):
            headers = turn_headers("p", previous) + with_key(KEY_A)
            return call(address, b"/open/x", turn, b"a", headers=headers)[0]

        wait_until(lambda: take(informed, b"t1") == 200, "the first turn is served")
        site.processes["entry-2"].pause()
        time.sleep(1.5)
        statuses = []
        following = threading.Thread(
            target=lambda: statuses.append(take(frozen, b"t2", "t1"))
        )
        following.start()
        site.processes["entry-2"].resume()
        following.join()
        assert statuses[0] in (200, 503), statuses
        wait_until(lambda: take(frozen, b"t3", "t1") == 200, "the next turn is served")
        target.close()
