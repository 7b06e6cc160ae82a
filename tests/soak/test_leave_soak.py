"""A short soak of targets that leave."""

from __future__ import annotations

from experiments.leave_soak.leave_run import play_seed

SECONDS = 10.0
ENTRIES = 6
TARGETS = 5


def test_targets_that_left_get_nothing_late_twice_or_cut_off(tmp_path):
    result = play_seed(3, SECONDS, ENTRIES, TARGETS, tmp_path)
    assert result.broken == []
    assert result.left
    assert result.answered > result.calls / 2
