"""What boxes of a failure domain tell each other of targets, over their reader."""

from __future__ import annotations

import logging
from types import SimpleNamespace

import pytest

from cedarchute.fleet import news_exchange
from cedarchute.fleet.box_news import BoxNews
from cedarchute.fleet.news_exchange import NewsExchange
from cedarchute.metrics import Metrics
from cedarchute.placement import domain_knowledge
from cedarchute.placement.report_board import MAX_MERGED, MAX_REPORTS
from cedarchute.placement.target_report import TargetReport


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    clock.monotonic = lambda: clock.now
    monkeypatch.setattr(domain_knowledge, "time", clock)
    monkeypatch.setattr(news_exchange, "time", clock)
    return clock


def make_news(box, *reports, is_enabled=True):
    news = NewsExchange(box, lambda: is_enabled, Metrics())
    news.targets.list_reports = lambda: reports
    return news


def poll(box, reader):
    """Exchange news as one poll of a box at its reader does."""
    reader.take_box(box.make_own())
    box.take_domain(reader.make_domain(box.box))


def test_a_box_hears_what_all_others_do_at_a_target(clock):
    reader = make_news("entry-1", TargetReport("t", 1, 200, 0))
    boxes = [make_news(f"entry-{n}", TargetReport("t", n, 100 * n, 0)) for n in (2, 3)]
    for box in (*boxes, *boxes):
        poll(box, reader)
    assert [box.find("t").active for box in boxes] == [1 + 3, 1 + 2]
    assert [box.find("t").mean_seconds for box in boxes] == [0.25, 0.2]
    assert reader.find("t").active == 2 + 3
    assert reader.find("other") is None


def test_what_was_told_ends_with_the_reader(clock):
    reader, box = make_news("entry-1"), make_news("entry-2")
    reader.take_box(BoxNews("entry-3", reports=(TargetReport("t", 2, 90, 0, 500),)))
    poll(box, reader)
    clock.now += 1.4
    assert box.find("t").age_seconds == pytest.approx(1.9)
    assert reader.find("t").age_seconds == pytest.approx(1.9)
    clock.now += 0.2
    assert box.find("t") is None
    clock.now += 0.2
    assert reader.find("t") is None
    poll(box, make_news("entry-4"))
    assert box.find("t") is None


@pytest.mark.parametrize(
    "reports",
    [
        (TargetReport("t", -1, 0, 0),),
        (TargetReport("t", 1, -5, 0),),
        (TargetReport("t", 1, 0, 101),),
        (TargetReport("t", 1, 0, 0, -300),),
        (TargetReport("t" * 999, 1, 0, 0),),
        (TargetReport("good", 1, 0, 0), TargetReport("t", 10**9, 0, 0)),
        tuple(TargetReport(f"t-{n}", 1, 0, 0) for n in range(MAX_MERGED + 1)),
    ],
)
def test_implausible_reports_are_logged_once_and_not_taken(clock, caplog, reports):
    caplog.set_level(logging.INFO)
    reader, box = make_news("entry-1"), make_news("entry-2", *reports)
    told = BoxNews("entry-2", reports=reports)
    for _ in range(3):
        reader.take_box(told)
        box.targets.take_domain(reports)
    assert all(reader.find(report.incarnation) is None for report in reports)
    assert all(box.find(report.incarnation) is None for report in reports)
    ignored = [r for r in caplog.records if r.message == "Reports of targets ignored."]
    assert len(ignored) == 2


def test_a_box_reports_a_bounded_number_of_targets(clock):
    reports = [TargetReport(f"t-{n}", 1, 0, 0) for n in range(40)]
    assert len(make_news("entry-1", *reports).make_own().reports) == MAX_REPORTS


def test_a_target_that_fails_for_the_domain_is_logged_once(clock, caplog):
    caplog.set_level(logging.INFO)
    reader, box = make_news("entry-1"), make_news("entry-2")
    for percent in (15, 14, 0, 0):
        reports = (TargetReport("t", 1, 90, percent),)
        reader.take_box(BoxNews("entry-3", reports=reports))
        poll(box, reader)
        clock.now += 0.3
    messages = [r.message for r in caplog.records if r.name.endswith("placement")]
    assert messages.count("Target fails for other boxes.") == len((reader, box))
    assert messages.count("Target fails for no other box now.") == len((reader, box))


def test_a_box_without_news_reports_no_targets():
    report = TargetReport("t", 1, 0, 0)
    reader = make_news("entry-1", is_enabled=False)
    assert not reader.take_box(BoxNews("entry-2", reports=(report,)))
    assert make_news("entry-2", report, is_enabled=False).make_own() is None
    assert reader.find("t") is None
