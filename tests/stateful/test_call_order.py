from __future__ import annotations

import pytest
from call_order import CallOrder


@pytest.fixture
def order():
    """A call k1 that ran without an answer, then k2 that was answered."""
    order = CallOrder()
    order.on_asked("p", "k1")
    order.on_accepted("p", "k1")
    order.on_asked("p", "k2")
    order.on_accepted("p", "k2")
    return order


def test_calls_in_the_order_in_which_they_were_accepted_pass(order):
    order.check("p", ["k1", "k2"])


def test_a_later_answer_does_not_change_the_order(order):
    order.on_asked("p", "k1")
    order.on_accepted("p", "k1")
    order.check("p", ["k1", "k2"])
    with pytest.raises(AssertionError, match="out of order"):
        order.check("p", ["k2", "k1"])


def test_a_call_out_of_order_is_noticed(order):
    with pytest.raises(AssertionError, match="out of order"):
        order.check("p", ["k2", "k1"])


@pytest.mark.parametrize("kept", [[], ["k1"], ["k2"]])
def test_a_lost_call_is_noticed(order, kept):
    with pytest.raises(AssertionError, match="lost"):
        order.check("p", kept)


def test_a_call_that_was_neither_answered_nor_run_may_be_in_either_place():
    order = CallOrder()
    order.on_asked("p", "k1")
    order.on_asked("p", "k2")
    order.on_accepted("p", "k2")
    order.on_asked("p", "k1")
    order.on_accepted("p", "k1")
    order.check("p", ["k1", "k2"])
    order.check("p", ["k2", "k1"])


def test_calls_that_ran_in_another_order_are_noticed():
    order = CallOrder()
    order.on_asked("p", "k1")
    order.on_asked("p", "k2")
    order.on_ran("p", "k2")
    order.on_ran("p", "k1")
    order.check("p", ["k2", "k1"])
    with pytest.raises(AssertionError, match="out of order"):
        order.check("p", ["k1", "k2"])


def test_a_call_that_was_never_accepted_may_be_missing(order):
    order.on_asked("p", "k3")
    order.check("p", ["k1", "k2"])
