"""Reports of targets: bounded, dropped when old, and never counted twice."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cedarchute.placement.report_board import (
    MAX_AGE_MS,
    MAX_MERGED,
    MAX_REPORTS,
    ReportBoard,
)
from cedarchute.placement.target_report import TargetReport

BOXES = [f"box-{number}" for number in range(5)]
REPORTS = st.lists(
    st.builds(
        TargetReport,
        st.sampled_from([f"t-{number}" for number in range(8)]),
        st.integers(0, 9),
        st.integers(0, 4000),
        st.integers(0, 100),
        st.integers(0, MAX_AGE_MS + 500),
    ),
    max_size=20,
    unique_by=lambda report: report.incarnation,
)
STEPS = st.lists(
    st.tuples(st.sampled_from(BOXES), REPORTS, st.integers(0, 900)), max_size=20
)


@given(STEPS, st.sampled_from(["", *BOXES]))
def test_merged_reports_are_the_sum_of_the_newest_of_the_other_boxes(steps, asker):
    board, newest, now_ms = ReportBoard(), {}, 10_000
    for box, reports, pause_ms in steps:
        now_ms += pause_ms
        board.put(box, reports, now_ms)
        newest[box] = [(report, now_ms) for report in reports[:MAX_REPORTS]]
    board.expire(now_ms)
    active = {}
    for box, reports in newest.items():
        for report, at_ms in reports:
            is_old = now_ms - at_ms + report.age_ms > MAX_AGE_MS
            if box != asker and not is_old:
                known = active.get(report.incarnation, 0)
                active[report.incarnation] = known + report.active
    merged = board.merge(now_ms, asker)
    assert {report.incarnation: report.active for report in merged} == active
    assert all(0 <= report.age_ms <= MAX_AGE_MS for report in merged)
    for report in merged:
        assert board.find(report.incarnation, now_ms, asker) == report


@given(STEPS)
def test_nothing_is_kept_once_all_reports_are_old(steps):
    board, now_ms = ReportBoard(), 10_000
    for box, reports, pause_ms in steps:
        now_ms += pause_ms
        board.put(box, reports, now_ms)
    assert all(len(reports) <= MAX_REPORTS for reports in board.by_box.values())
    board.expire(now_ms + MAX_AGE_MS + 1)
    assert not board.by_box
    assert not board.totals


def test_the_busiest_targets_are_told_when_there_are_too_many():
    board = ReportBoard()
    for box in range(8):
        reports = [
            TargetReport(f"t-{box}-{number}", number, 0, 0) for number in range(16)
        ]
        board.put(f"box-{box}", reports, 0)
    merged = board.merge(0)
    assert len(merged) == MAX_MERGED
    assert min(report.active for report in merged) == 8


def test_mean_and_failures_are_those_of_the_boxes_that_know_them():
    board = ReportBoard()
    board.put("box-1", [TargetReport("t", 1, 300, 0)], 0)
    board.put("box-2", [TargetReport("t", 2, 500, 30, 400)], 0)
    board.put("box-3", [TargetReport("t", 4, 0, 0, 200)], 0)
    assert board.find("t", 100) == TargetReport("t", 7, 400, 10, 300)
    assert board.find("t", 100, "box-3") == TargetReport("t", 3, 400, 15, 300)
