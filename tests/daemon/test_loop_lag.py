from __future__ import annotations

from cedarchute.daemon.loop_lag import BEHIND_SECONDS, LoopLag


def test_a_process_that_wakes_in_time_is_not_behind():
    lag = LoopLag()
    for _ in range(50):
        lag.record_sleep(0.2, 0.201)
    assert not lag.is_behind


def test_one_late_wake_up_says_little_and_many_say_it():
    lag = LoopLag()
    lag.record_sleep(0.2, 0.2 + 4 * BEHIND_SECONDS)
    assert not lag.is_behind
    for _ in range(5):
        lag.record_sleep(0.2, 0.2 + 4 * BEHIND_SECONDS)
    assert lag.is_behind
    for _ in range(20):
        lag.record_sleep(0.2, 0.2)
    assert not lag.is_behind
