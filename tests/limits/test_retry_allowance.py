from __future__ import annotations

from cedarchute.limits.retry_allowance import BURST, RetryAllowance


def test_retries_are_a_share_of_the_traffic():
    allowance = RetryAllowance(0.1)
    retries = 0
    for _ in range(1000):
        allowance.on_first_try()
        retries += allowance.take()
    assert retries <= 100 + BURST
