from __future__ import annotations

import pytest

from cedarchute.decisions.aim_use import (
    DEFAULT_USAGE,
    WARMUP_SECONDS,
    WINDOW_TURNS,
    DeadlineUsage,
)
from cedarchute.decisions.program_admission import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    MIN_SHEDDING_SLOWDOWN,
    AdmissionInputs,
    compute_shedding_hash,
    decide_admission,
)


def decide(slowdown, use=0.55, ranks=0, shedding_hash=0.5, deadline=2.0, waited=0.0):
    return decide_admission(
        AdmissionInputs(slowdown, use, ranks, shedding_hash, deadline, waited)
    )


def test_nobody_is_refused_while_engines_have_room():
    calm = MIN_SHEDDING_SLOWDOWN - 0.01
    assert decide(calm, use=1.0, shedding_hash=0.0, deadline=0.1, waited=60.0).admitted


def test_more_are_refused_the_slower_the_engines():
    shares = [decide(s).refused_share for s in (1.3, 1.4, 1.5, 1.6, 1.9, 5.0)]
    assert shares == sorted(shares)
    assert shares[0] == 0.0
    assert shares[-1] == 1.0


def test_the_same_program_gets_the_same_answer_everywhere():
    assert compute_shedding_hash("p-1") == compute_shedding_hash("p-1")
    drawn = [compute_shedding_hash(f"p-{n}") for n in range(2000)]
    assert all(0.0 <= value < 1.0 for value in drawn)
    assert 0.45 < sum(drawn) / len(drawn) < 0.55


def test_programs_with_much_time_are_let_in_at_slowdowns_that_refuse_others():
    assert not decide(1.8, use=0.6).admitted
    assert decide(1.8, use=0.33).admitted


def test_a_program_that_lost_time_waiting_is_refused_first():
    assert decide(1.4, shedding_hash=0.2).admitted
    assert not decide(1.4, shedding_hash=0.2, deadline=1.9, waited=0.1).admitted


def test_a_more_important_route_is_refused_later():
    assert decide(1.7, ranks=1).refused_share < decide(1.7, ranks=0).refused_share
    assert decide(1.7, ranks=9).refused_share == decide(1.7, ranks=2).refused_share


def test_a_caller_that_names_no_aim_is_decided_on_by_load_alone():
    assert decide(1.2, deadline=None).admitted
    assert not decide(3.0, deadline=None).admitted


@pytest.mark.parametrize("deadline", [None, 0.0, 0.4, 2.0, 9.0, 1000.0])
def test_callers_are_told_when_to_come_back(deadline):
    decision = decide(9.0, deadline=deadline)
    wait = decision.retry_after_seconds
    assert MIN_RETRY_SECONDS <= wait <= MAX_RETRY_SECONDS


def fill(use, shares, start=100.0):
    use.record_turn(start, 1.0, 0.1, 0.9)
    for share in shares:
        use.record_turn(start + WARMUP_SECONDS, 1.0, share, 1.0 - share)


def test_use_is_what_programs_near_their_end_have_used():
    use = DeadlineUsage()
    assert use.share == DEFAULT_USAGE
    fill(use, [0.6 * n / WINDOW_TURNS for n in range(1, WINDOW_TURNS + 1)])
    assert use.share == pytest.approx(0.5, abs=0.06)


def test_the_first_seconds_of_a_box_tell_nothing():
    use = DeadlineUsage()
    for number in range(5 * WINDOW_TURNS):
        use.record_turn(100.0 + number / 100, 1.0, 0.1, 0.9)
    assert use.share == DEFAULT_USAGE


def test_use_follows_slowly_and_bad_input_is_passed_over():
    use = DeadlineUsage()
    fill(use, [0.3] * WINDOW_TURNS)
    assert use.share == pytest.approx(0.3)
    fill(use, [0.9] * WINDOW_TURNS)
    assert use.share == pytest.approx(0.6)
    use.record_turn(200.0, 1.0, 0.0, 0.0)
    use.record_turn(200.0, 9.0, 0.5, 0.5)
    assert use.window == []


def test_use_is_told_for_engines_that_are_not_slowed_down():
    use = DeadlineUsage()
    use.record_turn(100.0, 1.0, 0.1, 0.9)
    for _ in range(WINDOW_TURNS):
        use.record_turn(110.0, 1.5, 0.6, 0.4)
    assert use.share == pytest.approx(0.4)
