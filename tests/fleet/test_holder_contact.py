"""A box that loses and finds the holders."""

from __future__ import annotations

from types import SimpleNamespace

from cedarchute.fleet.holder_contact import HolderContact


class Registration:
    """Records what the box has published."""

    def __init__(self):
        self.published = []

    def publish_isolated(self, is_isolated):
        self.published.append(is_isolated)


class Quorum:
    """Holders that respond again to a probe, during which a stop may begin."""

    def __init__(self, during_probe):
        self.fanout = SimpleNamespace(
            failing_since=1.0, is_isolated=True, explain_failures=dict
        )
        self.during_probe = during_probe

    def probe(self):
        self.during_probe()
        self.fanout.failing_since = None
        self.fanout.is_isolated = False


def probe(begins_stop):
    """Let an isolated box find the holders; return what it has published."""
    stop = SimpleNamespace(asked=False)

    def during_probe():
        stop.asked = begins_stop

    registration = Registration()
    contact = HolderContact(Quorum(during_probe), registration, lambda: stop.asked)
    contact.isolated = True
    contact.check_once()
    return registration.published


def test_what_the_holders_say_is_logged_when_it_changes(caplog):
    """Lines that name the reason of each refusal are dropped under load."""
    answers = iter(["no answer", "no answer", "catching up"])
    quorum = Quorum(lambda: None)
    quorum.probe = lambda: None
    quorum.fanout.explain_failures = lambda: {"failures": {"box-1": next(answers)}}
    contact = HolderContact(quorum, Registration(), lambda: False)
    for _ in range(3):
        contact.check_once()
    assert [(line.message, line.failures["box-1"]) for line in caplog.records] == [
        ("Holders unreachable.", "no answer"),
        ("Holders unreachable.", "catching up"),
    ]


def test_a_box_that_finds_the_holders_again_takes_callers():
    assert probe(begins_stop=False) == [False]


def test_a_stop_that_begins_during_a_probe_is_not_taken_back():
    assert probe(begins_stop=True) == []


def test_other_boxes_are_told_before_a_probe_that_may_take_long():
    told = []
    quorum = Quorum(lambda: told.append("probe"))
    contact = HolderContact(quorum, Registration(), lambda: False, told.append)
    contact.check_once()
    assert told == [True, "probe", False]
