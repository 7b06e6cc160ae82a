"""What one answer may hold depends on what all of them hold."""

from __future__ import annotations

import pytest

from cedarchute.pressure.answer_memory import MIN_ANSWER_BYTES, AnswerMemory
from cedarchute.pressure.held_amount import HeldAmount
from cedarchute.pressure.held_bytes import HeldCause

MAX_BYTES = 100 * MIN_ANSWER_BYTES


def grow_in_turns(memory, count):
    """Grow `count` amounts for as long as they may; return them."""
    amounts = [HeldAmount(memory, HeldCause.ANSWER) for _ in range(count)]
    growing = list(amounts)
    while growing:
        for amount in list(growing):
            amount.grow(1000)
            if not memory.allows(amount.count):
                growing.remove(amount)
    return amounts


@pytest.mark.parametrize("count", [1, 4, 30])
def test_answers_without_end_leave_room_for_another(count):
    memory = AnswerMemory(MAX_BYTES)
    grow_in_turns(memory, count)
    assert memory.count < MAX_BYTES
    assert memory.allows(MAX_BYTES - memory.count)


@pytest.mark.parametrize("count", [1, 4, 30])
def test_answers_without_end_hold_equal_parts(count):
    amounts = grow_in_turns(AnswerMemory(MAX_BYTES), count)
    parts = [amount.count for amount in amounts]
    assert max(parts) - min(parts) <= 1000
    assert min(parts) > MAX_BYTES / (count + 1) - 1000 * (count + 1)


def test_each_answer_may_hold_one_read_whatever_others_hold():
    memory = AnswerMemory(MAX_BYTES)
    memory.add(HeldCause.KEPT_EVENTS, MAX_BYTES)
    memory.add(HeldCause.ANSWER, MIN_ANSWER_BYTES)
    assert memory.allows(MIN_ANSWER_BYTES)
    assert not memory.allows(MIN_ANSWER_BYTES + 1)


def test_what_is_released_can_be_held_again():
    memory = AnswerMemory(MAX_BYTES)
    for amount in grow_in_turns(memory, 4):
        amount.release()
    assert memory.count == 0
    assert memory.allows(MAX_BYTES)


def test_an_amount_is_resized_to_what_is_held():
    memory = AnswerMemory(MAX_BYTES)
    amount = HeldAmount(memory, HeldCause.ANSWER)
    for count in (500, 2000, 0, 10):
        amount.resize(count)
        assert (amount.count, memory.count) == (count, count)
