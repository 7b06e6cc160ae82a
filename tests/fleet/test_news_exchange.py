"""News that boxes of a failure domain tell each other over their reader."""

from __future__ import annotations

from types import SimpleNamespace

import msgspec
import pytest

from cedarchute.fleet import news_exchange
from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.box_news import BoxNews, DomainNews
from cedarchute.fleet.news_exchange import NEWS_VALID_SECONDS, NewsExchange
from cedarchute.fleet.peer_server import PeerServer
from cedarchute.fleet.state_client import StateClient
from cedarchute.fleet.state_messages import AskState, AskStateAndNews, State
from cedarchute.fleet.store_mirror import StoreMirror
from cedarchute.metrics import Metrics
from cedarchute.placement.target_report import TargetReport


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    clock.monotonic = lambda: clock.now
    monkeypatch.setattr(news_exchange, "time", clock)
    return clock


def make_news(box, is_enabled=True):
    return NewsExchange(box, lambda: is_enabled, Metrics())


def poll(box, reader):
    """Exchange news as one poll of a box at its reader does."""
    reader.take_box(box.make_own())
    box.take_domain(reader.make_domain())


def test_callers_are_sent_to_no_box_that_is_cut_off_from_store_and_holders(clock):
    """Its entry in the store says nothing: it can't be written."""
    directory = BoxDirectory()
    for name in ("entry-1", "entry-2", "entry-3"):
        directory.put(BoxEntry(name, Role.ENTRY, "a", "r", f"{name}:80", f"{name}:1"))
    reader, cut, other = map(make_news, ("entry-1", "entry-2", "entry-3"))
    directory.list_isolated = other.list_isolated
    cut.take_own(True)
    poll(cut, reader)
    poll(other, reader)
    assert directory.list_caller_addresses("a", "r") == ["entry-1:80", "entry-3:80"]
    cut.take_own(False)
    poll(cut, reader)
    poll(other, reader)
    assert len(directory.list_caller_addresses("a", "r")) == 3


def test_all_boxes_are_named_when_none_reaches_holders(clock):
    directory = BoxDirectory()
    news = make_news("entry-1")
    directory.list_isolated = news.list_isolated
    for name in ("entry-1", "entry-2"):
        directory.put(BoxEntry(name, Role.ENTRY, "a", "r", f"{name}:80", f"{name}:1"))
        news.take_box(BoxNews(name, True))
    assert len(directory.list_caller_addresses("a", "r")) == 2


def test_news_that_is_not_repeated_ends(clock):
    reader = make_news("entry-1")
    reader.take_box(BoxNews("entry-2", True))
    clock.now += NEWS_VALID_SECONDS - 0.1
    assert reader.list_isolated() == ["entry-2"]
    clock.now += 0.2
    assert reader.list_isolated() == []


def test_a_reader_that_has_not_heard_of_a_box_does_not_make_it_forget_itself(clock):
    box, reader = make_news("entry-2"), make_news("entry-1")
    box.take_own(True)
    box.take_domain(reader.make_domain())
    assert box.list_isolated() == ["entry-2"]


def test_the_boxes_kept_are_bounded(clock, monkeypatch):
    monkeypatch.setattr(news_exchange, "MAX_BOXES", 3)
    reader = make_news("entry-1")
    for number in range(9):
        reader.take_box(BoxNews(f"other-{number}", True))
    assert len(reader.list_isolated()) == 3


def test_a_box_without_news_takes_and_tells_none():
    box, reader = make_news("entry-2", False), make_news("entry-1", False)
    assert box.make_own() is None
    assert reader.make_domain() is None
    assert not reader.take_box(BoxNews("entry-2", True))
    box.take_domain(DomainNews(("entry-3",)))
    assert box.list_isolated() == reader.list_isolated() == []


def ask(server, message):
    """Return the status and answer of a box to a message of another one."""
    body = msgspec.json.encode(message)
    statuses = []
    environ = {"PATH_INFO": "/fleet/state"}
    environ["wsgi.input"] = SimpleNamespace(read=lambda: body)
    answer = server(environ, lambda status, fields: statuses.append(status))
    return statuses[0], b"".join(answer)


def test_a_box_without_news_gets_the_answer_of_before(clock):
    news = make_news("entry-1")
    news.take_box(BoxNews("entry-2", True))
    server = PeerServer(StoreMirror({}), Metrics(), news=news)
    _, plain = ask(server, AskState())
    assert set(msgspec.json.decode(plain)) == set(State.__struct_fields__)
    _, told = ask(server, AskStateAndNews(news=BoxNews("entry-3")))
    assert msgspec.json.decode(told)["news"]["isolated"] == ["entry-2"]


def test_a_request_without_news_is_the_one_of_before(monkeypatch):
    client = StateClient()
    bodies = []

    def request(method, address, path, *, body, **_):
        bodies.append(body)
        return SimpleNamespace(data=msgspec.json.encode(State(1, True)))

    monkeypatch.setattr(client.pools, "request", request)
    client.ask("10.0.0.1:1", 4, 0.5)
    assert bodies == [msgspec.json.encode(AskState(4, 0.5, takes_keys=True))]


@pytest.mark.parametrize("news", [{"box": 3}, {"is_isolated": True}, [], "x"])
def test_news_of_another_form_is_refused_with_nothing_taken(clock, news):
    reader = make_news("entry-1")
    server = PeerServer(StoreMirror({}), Metrics(), news=reader)
    status, _ = ask(server, {"news": news})
    assert status == "400 Bad Request"
    assert reader.list_isolated() == []


def test_a_box_is_not_told_of_its_own_calls():
    reader = make_news("entry-1")
    server = PeerServer(StoreMirror({}), Metrics(), news=reader)
    report = TargetReport("t-1", 2, 300, 0)
    ask(server, AskStateAndNews(news=BoxNews("entry-2", False, (report,))))
    _, told = ask(server, AskStateAndNews(news=BoxNews("entry-2", False, (report,))))
    assert msgspec.json.decode(told)["news"]["reports"] == []
    _, told = ask(server, AskStateAndNews(news=BoxNews("entry-3")))
    assert [entry[0] for entry in msgspec.json.decode(told)["news"]["reports"]] == [
        "t-1"
    ]
