"""Large answers that are gathered at once near the bound."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cedarchute.metrics import Metrics
from cedarchute.pressure.growth_order import GrowthOrder
from cedarchute.pressure.held_amount import HeldAmount
from cedarchute.pressure.held_byte_account import HeldByteAccount
from cedarchute.pressure.held_bytes import HeldCause

MAX_BYTES = 32_000_000
READ_BYTES = 65_536


def make_amounts(count, size=0):
    account = HeldByteAccount(MAX_BYTES, Metrics())
    amounts = [HeldAmount(account, HeldCause.ANSWER) for _ in range(count)]
    for amount in amounts:
        amount.grow(size)
    return account, amounts


@given(st.lists(st.integers(1, 6_000_000), min_size=1, max_size=40), st.randoms())
def test_all_answers_end_and_their_sum_stays_below_the_bound(sizes, chance):
    """The load: callers take nothing before their answer is complete."""
    account, amounts = make_amounts(len(sizes))
    order = GrowthOrder(account)
    missing = dict(zip(amounts, sizes, strict=True))
    while missing:
        waiting = list(missing)
        chance.shuffle(waiting)
        has_progress = False
        for amount in waiting:
            if not order.may_grow(amount):
                continue
            has_progress = True
            part = min(READ_BYTES, missing[amount])
            amount.grow(part)
            missing[amount] -= part
            if not missing[amount]:
                amount.release()
                del missing[amount]
            assert account.total < MAX_BYTES
        assert has_progress


def test_the_first_that_waited_grows_until_it_is_released():
    account, (first, second, third) = make_amounts(3, 9_000_000)
    order = GrowthOrder(account)
    assert order.may_grow(second)
    assert not order.may_grow(first)
    assert not order.may_grow(third)
    second.grow(1)
    assert order.may_grow(second)
    assert not order.may_grow(first)
    third.shrink(8_000_000)
    second.release()
    assert order.may_grow(third)
    assert order.may_grow(first)


def test_a_small_answer_does_not_wait_for_a_large_one():
    account, (large, other, small) = make_amounts(3)
    large.grow(20_000_000)
    other.grow(10_000_000)
    small.grow(100)
    order = GrowthOrder(account)
    assert order.may_grow(large)
    assert not order.may_grow(other)
    assert order.may_grow(small)


def test_answers_that_fit_end_while_slow_steady_callers_read_large_ones():
    """The load: large answers are complete, or wait, and their callers read slowly."""
    account, (waiting, *complete) = make_amounts(5, 6_000_000)
    order = GrowthOrder(account)
    for amount in complete:
        order.finish(amount, is_complete=True)
    assert not order.may_grow(waiting, 3_000_000)
    for _ in range(20):
        with HeldAmount(account, HeldCause.ANSWER) as fast:
            fast.grow(READ_BYTES + 1)
            assert order.may_grow(fast, 200_000)
            fast.grow(200_000)
            order.finish(fast, is_complete=True)
    complete[0].release()
    assert order.may_grow(waiting, 3_000_000)


def test_rests_that_were_promised_room_count_for_the_next():
    account, (first, second, *_) = make_amounts(4, 7_000_000)
    order = GrowthOrder(account)
    assert order.may_grow(first, 3_000_000)
    assert not order.may_grow(second, 3_000_000)
    assert order.may_grow(first, 3_000_000)
    first.grow(3_000_000)
    order.finish(first, is_complete=True)
    assert not order.may_grow(second, 3_000_000)
    first.release()
    assert order.may_grow(second, 3_000_000)


def test_the_next_grows_once_the_answer_of_the_first_is_complete():
    account, (first, second, *_) = make_amounts(4, 6_000_000)
    order = GrowthOrder(account)
    assert order.may_grow(first)
    assert not order.may_grow(second)
    order.finish(first, is_complete=True)
    assert order.may_grow(second)


def test_the_next_grows_once_the_first_hardly_grows():
    account, (first, second, *_) = make_amounts(4, 6_000_000)
    now = [1.0]
    order = GrowthOrder(account, lambda: now[0])
    assert order.may_grow(first)
    first.grow(READ_BYTES)
    now[0] = 2.1
    assert not order.may_grow(second)
    first.grow(1000)
    now[0] = 3.2
    assert order.may_grow(second)
    assert not order.may_grow(first)


@given(
    st.lists(st.integers(1, 6_000_000), min_size=1, max_size=40),
    st.randoms(use_true_random=False),
)
def test_answers_of_known_length_that_are_read_late_stay_below_the_bound(sizes, chance):
    account, amounts = make_amounts(len(sizes))
    order = GrowthOrder(account)
    missing = dict(zip(amounts, sizes, strict=True))
    unread = []
    while missing:
        has_progress = False
        for amount in chance.sample(list(missing), len(missing)):
            if not order.may_grow(amount, missing[amount]):
                continue
            has_progress = True
            part = min(READ_BYTES, missing[amount])
            amount.grow(part)
            missing[amount] -= part
            assert account.total < MAX_BYTES
            if not missing[amount]:
                del missing[amount]
                order.finish(amount, is_complete=True)
                unread.append(amount)
        if unread and (not has_progress or chance.random() < 0.1):
            unread.pop(chance.randrange(len(unread))).release()
            has_progress = True
        assert has_progress
    for amount in unread:
        amount.release()
    assert account.total == 0
