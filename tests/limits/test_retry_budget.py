from __future__ import annotations

from cedarchute.limits.retry_budget import BURST, RetryBudget


def test_retries_are_a_share_of_the_traffic():
    allowance = RetryBudget(0.1)
    retries = 0
    for _ in range(1000):
        allowance.record_first_attempt()
        retries += allowance.take()
    assert retries <= 100 + BURST
