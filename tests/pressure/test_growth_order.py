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
