"""A short soak of requests that crash targets."""

from __future__ import annotations

from experiments.crash_soak.crash_run import play_seed

SECONDS = 8.0
ENTRIES = 6


def test_fatal_requests_are_sent_no_further_and_others_are_served(tmp_path):
    result = play_seed(1, SECONDS, ENTRIES, tmp_path)
    assert result.broken == []
    assert result.sends
    assert result.sound > 2 * result.unanswered
