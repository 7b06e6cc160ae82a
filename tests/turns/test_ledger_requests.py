"""Requests to the ledger of a workspace: which server, in which order, what it says."""

from __future__ import annotations

import math
from types import SimpleNamespace

import msgspec
import pytest
from msgspec.structs import replace
from test_quota_client import GRANTED, LIMIT, make_client, reject

from cedarchute.decisions.program_ledger import ProgramLedger
from cedarchute.decisions.program_turn import ProgramTurn
from cedarchute.decisions.program_verdict import ProgramVerdict
from cedarchute.decisions.quota_share import QuotaTolerance
from cedarchute.turns import quota_server
from cedarchute.turns.holder_app import HolderApp
from cedarchute.turns.messages import (
    QUOTA_PATH,
    AskProgramQuota,
    AskQuota,
    ProgramQuotaAnswered,
    QuotaAnswered,
)
from cedarchute.turns.quota_client import NoQuotaServerError
from cedarchute.turns.quota_server import QuotaServer

TURN = ProgramTurn("w\np", "planner", 2.5)
UNDER_WAY, REFUSED = ProgramVerdict.UNDER_WAY, ProgramVerdict.REFUSED


def lacks_call(wait_seconds=0.5):
    return ProgramQuotaAnswered(False, wait_seconds, 0.2, verdict=UNDER_WAY)


def refuse_whole(wait_seconds=2.0):
    return ProgramQuotaAnswered(False, wait_seconds, 3.0, verdict=REFUSED)


class Told:
    """Answers by address, by whether the ledger is asked; keeps the messages."""

    def __init__(self, servers, by_ledger, plain):
        self.messages = []
        self.by_ledger, self.plain = by_ledger, plain
        servers.answers = {f"h{n}": self.answer_at(f"h{n}") for n in range(3)}

    def answer_at(self, address):
        def answer(message):
            self.messages.append((address, message))
            is_ledger = isinstance(message, AskProgramQuota)
            answers = self.by_ledger if is_ledger else self.plain
            return answers.get(address, answers.get(""))

        return answer

    @property
    def addresses(self):
        return [address for address, _ in self.messages]


def rank(client):
    return [f"h{n}" for n in client.find_seats("w")]


def test_the_ledger_is_the_same_at_all_boxes_whoever_granted_last():
    client, servers, _ = make_client(GRANTED, GRANTED, GRANTED)
    first, second, _ = rank(client)
    client.granted_by["w"] = f"d{second[1:]}"
    told = Told(servers, {"": GRANTED}, {"": GRANTED})
    assert client.ask("w", LIMIT, True, 0.0, TURN).granted
    assert told.addresses == [first]
    message = told.messages[0][1]
    assert (message.program, message.kind) == (TURN.program, TURN.kind)
    assert message.calls_per_turn == 2.5
    client.ask("w", LIMIT, False, 0.0)
    assert told.addresses == [first, second]
    assert type(told.messages[1][1]) is AskQuota


def test_a_program_refused_as_a_whole_is_asked_about_nowhere_else():
    client, servers, _ = make_client(GRANTED, GRANTED, GRANTED)
    told = Told(servers, {"": refuse_whole(2.0)}, {"": GRANTED})
    grant = client.ask("w", LIMIT, True, 1.0, TURN)
    assert (grant.granted, grant.refuses_program) == (False, True)
    assert grant.wait_seconds == 2.0
    assert len(told.messages) == 1


def test_no_refusal_answers_for_another_program_or_call():
    client, servers, _ = make_client(GRANTED, GRANTED, GRANTED)
    told = Told(servers, {"": refuse_whole()}, {"": GRANTED})
    client.ask("w", LIMIT, True, 1.0, TURN)
    told.by_ledger = {"": GRANTED}
    assert client.ask("w", LIMIT, True, 1.0, ProgramTurn("w\nq", "planner")).granted
    assert client.ask("w", LIMIT, False, 1.0).granted


def test_a_cached_refusal_of_calls_swallows_no_turn_under_way():
    client, servers, _ = make_client(reject(5.0), reject(5.0), reject(5.0))
    for begins in (True, False):
        assert not client.ask("w", LIMIT, begins, 1.0).granted
    told = Told(servers, {"": lacks_call()}, {"": GRANTED})
    assert client.ask("w", LIMIT, True, 1.0, TURN).granted
    assert len(told.messages) == 2


def test_a_turn_under_way_asks_the_others_and_then_waits_as_no_start_does():
    client, servers, _ = make_client(GRANTED, GRANTED, GRANTED)
    first, *others = rank(client)

    def patient(message):
        return QuotaAnswered(message.patience_seconds > 0, 0.3)

    told = Told(servers, {"": lacks_call(0.9)}, {"": reject(0.7)})
    servers.answers[others[1]] = lambda message: (
        told.messages.append((others[1], message)) or patient(message)
    )
    grant = client.ask("w", LIMIT, True, 0.8, TURN)
    assert (grant.granted, grant.wait_seconds) == (True, 0.3)
    assert told.addresses[0] == first
    assert sorted(told.addresses[1:3]) == sorted(others)
    assert told.addresses[3] == others[1]
    plain = [message for _, message in told.messages[1:]]
    assert all(type(message) is AskQuota for message in plain)
    assert not any(message.begins_program for message in plain)


def test_a_turn_under_way_beyond_all_patience_is_refused_as_a_call():
    client, servers, _ = make_client(GRANTED, GRANTED, GRANTED)
    Told(servers, {"": lacks_call(1.5)}, {"": reject(1.2)})
    grant = client.ask("w", LIMIT, True, 1.0, TURN)
    assert (grant.granted, grant.refuses_program) == (False, False)
    assert grant.wait_seconds == 1.2
    assert not client.cached_refusals


def test_a_silent_ledger_is_passed_over_and_the_next_server_decides():
    client, servers, _ = make_client(GRANTED, GRANTED, GRANTED)
    first, second, _ = rank(client)
    told = Told(servers, {first: None, second: refuse_whole()}, {"": GRANTED})
    for _ in range(3):
        assert client.ask("w", LIMIT, True, 1.0, TURN).refuses_program
    assert told.addresses == [first, second, second, second]
    assert [message.reachable for _, message in told.messages] == [3, 2, 2, 2]


def test_a_ledger_that_was_just_silent_is_not_asked_again_for_the_same_call():
    client, servers, _ = make_client(GRANTED, GRANTED, GRANTED)
    first, second, third = rank(client)
    told = Told(servers, {first: None, second: lacks_call()}, {"": GRANTED})
    client.granted_by["w"] = f"d{first[1:]}"
    assert client.ask("w", LIMIT, True, 1.0, TURN).granted
    assert told.addresses == [first, second, third]


def test_without_any_server_a_turn_is_not_granted():
    client, servers, _ = make_client(None, None, None)
    with pytest.raises(NoQuotaServerError):
        client.ask("w", LIMIT, True, 1.0, TURN)
    assert client.fanout.failing_since is not None


def test_a_server_without_a_ledger_answers_as_before():
    client, servers, _ = make_client(GRANTED, GRANTED, GRANTED)
    told = Told(servers, {"": ProgramQuotaAnswered(False, 0.5, 0.2)}, {"": reject(0.4)})
    grant = client.ask("w", LIMIT, True, 1.0, TURN)
    assert (grant.granted, grant.refuses_program) == (False, False)
    assert len(told.messages) == 3
    assert all(message.begins_program for _, message in told.messages)
    earlier = msgspec.json.encode(QuotaAnswered(True))
    assert msgspec.json.decode(earlier, type=ProgramQuotaAnswered).granted


class FakeClock:
    now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def server():
    made = QuotaServer(
        QuotaTolerance(slack=20.0), clock := FakeClock(), is_restarted=False
    )
    clock.now += 60.0
    made.ledgers["w"] = ProgramLedger(made.kinds, clock)
    made.ledgers["w"].gathers_until = clock.now
    return made


def make_message(program="w\np", kind="planner", mean=2.5, begins=True, workspace="w"):
    return AskProgramQuota(
        workspace=workspace,
        version=1,
        calls_per_second=5.0,
        burst=5.0,
        keepers=3,
        begins_program=begins,
        program=program,
        kind=kind,
        calls_per_turn=mean,
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"program": ""},
        {"kind": ""},
        {"mean": -1.0},
        {"mean": math.nan},
        {"mean": 1e300},
    ],
)
def test_a_request_that_no_ledger_can_judge_is_served_without(server, changes):
    answer = server.ask(make_message(**changes))
    assert type(answer) is QuotaAnswered
    assert answer.granted
    assert not server.ledgers["w"].programs


def test_a_request_of_an_earlier_box_is_served_without(server):
    holder = SimpleNamespace(
        **dict.fromkeys(
            (
                "begin_turn",
                "take_records",
                "read_account",
                "read_standing",
                "read_presence",
                "read_chain",
                "read_idle_times",
            )
        ),
        box="h",
    )
    source = SimpleNamespace(list_records=None, read_turns=None)
    app = HolderApp(holder, server, source, SimpleNamespace(cover=None))
    names = ("workspace", "version", "calls_per_second", "burst", "keepers")
    message = make_message()
    earlier = AskQuota(
        **{name: getattr(message, name) for name in names}, begins_program=True
    )
    status, answer = app.answer(QUOTA_PATH, msgspec.json.encode(earlier))
    assert status == "200 OK"
    assert type(answer) is QuotaAnswered
    status, answer = app.answer(QUOTA_PATH, msgspec.json.encode(message))
    assert answer.verdict is UNDER_WAY


def test_an_unknown_kind_is_judged_by_what_programs_usually_need(server):
    verdicts = [
        server.ask(make_message(f"w\n{n}", kind=f"unheard{n}")).verdict
        for n in range(6)
    ]
    assert verdicts[0] is UNDER_WAY
    assert verdicts[-1] is REFUSED


def test_a_program_under_way_lacks_calls_at_most_and_takes_only_those_left(server):
    answers = [server.ask(make_message()) for _ in range(30)]
    assert {answer.verdict for answer in answers} == {UNDER_WAY}
    granted = sum(answer.granted for answer in answers)
    assert granted == int(server.shares["w"].bucket.burst)


@pytest.mark.parametrize("rate", [1.0, 2.0, 3.0])
def test_a_second_program_begins_in_time_at_a_limit_that_holds_one(rate):
    clock = FakeClock()
    server = QuotaServer(QuotaTolerance(), clock, is_restarted=False)
    clock.now += 60.0
    limits = {"calls_per_second": rate, "burst": rate}
    server.ask(replace(make_message("w\nfirst"), **limits))
    clock.now += 1.0
    due = began = clock.now
    while clock.now < began + 10.0:
        server.ask(replace(make_message("w\nfirst"), **limits))
        if clock.now >= due:
            answer = server.ask(replace(make_message("w\nsecond"), **limits))
            if answer.verdict is UNDER_WAY:
                break
            due = clock.now + answer.wait_seconds
        clock.now += 0.5
    assert answer.verdict is UNDER_WAY
    assert clock.now - began > 1.0


def test_what_lost_servers_would_grant_counts_for_nothing(server):
    def count_admitted(workspace, reachable):
        server.ledgers[workspace] = ProgramLedger(server.kinds, server.clock)
        server.ledgers[workspace].gathers_until = server.clock.now
        messages = [
            make_message(f"{workspace}\n{n}", workspace=workspace) for n in range(9)
        ]
        answers = [server.ask(replace(m, reachable=reachable)) for m in messages]
        return sum(answer.verdict is UNDER_WAY for answer in answers)

    all_reached = count_admitted("all", 3)
    assert count_admitted("two", 2) < all_reached
    for wrong in (0, -1, 99):
        assert count_admitted(f"wrong{wrong}", wrong) == all_reached


def test_ledgers_go_with_their_shares(server, monkeypatch):
    monkeypatch.setattr(quota_server, "MAX_SHARES", 2)
    for number in range(5):
        server.ask(make_message(workspace=f"w{number}"))
    assert set(server.ledgers) - {"w"} == set(server.shares)
    assert len(server.shares) == 2
