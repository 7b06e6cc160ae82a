from __future__ import annotations

import pytest
from test_programs_machine import Programs, shorten_waits


class Drawn:
    """Gives the value that a rule drew."""

    def __init__(self, value):
        self.value = value

    def draw(self, strategy):
        return self.value


class CheckedPrograms:
    """Calls the rules of the state machine and checks its invariants after each."""

    def __init__(self):
        self.machine = Programs()

    def __getattr__(self, name):
        def call_rule(**arguments):
            result = getattr(self.machine, name)(**arguments)
            self.machine.nothing_ran_between_calls()
            self.machine.nothing_ran_twice()
            return result

        return call_rule


@pytest.fixture
def state():
    """The state machine; after the test it is checked that nothing was lost."""
    with shorten_waits():
        state = CheckedPrograms()
        yield state
        state.machine.teardown()


def test_boxes_lost_one_after_the_other_leave_no_partition_sealed(state):
    """A new owner was a holder of its own partition when it was lost too."""
    state.mend()
    state.kill(number=0)
    state.mend()
    state.kill(number=1)
    state.kill(number=1)
    state.mend()
    state.cut(number=2)
    state.kill(number=2)
    state.cut(number=1)
    state.mend()
    state.break_store(is_down=True, lost=0)
    state.cut(number=3)
    state.kill(number=0)
    state.mend()
    state.break_store(is_down=True, lost=0)
    state.kill(number=0)
    state.kill(number=0)
    state.mend()
    state.kill(number=2)
    state.mend()


def test_a_box_lost_after_each_takeover_leaves_no_partition_sealed(state):
    """The same with programs opened at the other boxes meanwhile."""
    state.kill(number=2)
    state.cut(number=2)
    state.kill(number=1)
    state.mend()
    state.kill(number=0)
    state.mend()
    state.mend()
    state.mend()
    state.kill(number=1)
    state.open_program(number=0)
    state.open_program(number=1)
    state.kill(number=0)
    state.cut(number=3)
    state.kill(number=3)
    state.kill(number=1)
    state.mend()


def test_every_box_lost_in_turn_leaves_no_partition_sealed(state):
    """The same with every box, each after the site had recovered."""
    state.mend()
    state.mend()
    state.kill(number=3)
    state.mend()
    state.mend()
    state.kill(number=2)
    state.mend()
    state.mend()
    state.mend()
    state.mend()
    state.mend()
    state.mend()
    state.kill(number=0)
    state.mend()
    state.mend()
    state.kill(number=1)
    state.kill(number=2)
    state.mend()


@pytest.mark.parametrize("lost", ["0123", "1023", "2301", "3210", "0132", "1302"])
def test_a_program_survives_boxes_that_are_lost_one_after_the_other(state, lost):
    """Each new owner had a copy itself, so its loss took the owner and a copy."""
    program = state.open_program(number=1)
    state.transfer(program=program, behaviour="ok", trouble=None, is_before=False)
    for number in lost:
        state.kill(number=int(number))
        state.mend()
    state.ask_again(program=program, data=Drawn("k1"))


def test_a_call_whose_answer_was_lost_keeps_its_place_before_a_model_call(state):
    """Its caller asks again only after the next call was answered."""
    program_0 = state.open_program(number=3)
    program_1 = state.open_program(number=2)
    state.transfer(behaviour="lost", is_before=True, program=program_0, trouble=None)
    state.look()
    state.pass_lease()
    state.cut(number=1)
    state.ask_model(program=program_0)
    program_2 = state.open_program(number=3)
    state.look()
    state.mend()
    state.ask_a_stale_home(key=3, number=3, program=program_1)
    state.ask_a_stale_home(key=3, number=3, program=program_0)
    state.pass_lease()
    state.break_store(is_down=False, lost=0)
    state.look()
    state.transfer(
        behaviour="ok", is_before=False, program=program_2, trouble="cut_and_pass"
    )
    state.pass_lease()
    state.look()
    state.look()
    state.ask_model(program=program_2)
    state.mend()
    state.look()
    state.look()
    state.ask_again(data=Drawn("k3"), program=program_2)
    state.look()


def test_a_call_whose_answer_was_lost_keeps_its_place_before_later_ones(state):
    """Its caller asks again while the box that ran the next one is lost."""
    state.kill(number=3)
    program_0 = state.open_program(number=1)
    state.pass_lease()
    state.pass_lease()
    state.mend()
    state.pass_lease()
    state.kill(number=0)
    state.look()
    state.transfer(
        behaviour="lost", is_before=False, program=program_0, trouble="cut_and_pass"
    )
    state.mend()
    state.transfer(behaviour="ok", is_before=False, program=program_0, trouble="cut")
    state.pass_lease()
    state.transfer(behaviour="lost", is_before=False, program=program_0, trouble="kill")
    state.kill(number=2)
    state.ask_again(data=Drawn("k2"), program=program_0)
    state.kill(number=1)
    state.pass_lease()
    state.mend()
    state.transfer(
        behaviour="ok", is_before=True, program=program_0, trouble="cut_and_pass"
    )
    state.ask_again(data=Drawn("k1"), program=program_0)
    state.ask_again(data=Drawn("k1"), program=program_0)
    state.pass_lease()
    state.open_program(number=1)
    state.transfer(
        behaviour="busy", is_before=True, program=program_0, trouble="cut_and_pass"
    )
    state.pass_lease()


def test_a_call_that_waits_at_a_cut_off_owner_runs_once_it_is_reachable(state):
    """The caller asked twice; its box stays the owner, for the store is away."""
    state.pass_lease()
    state.break_store(is_down=True, lost=1)
    program_0 = state.open_program(number=2)
    state.look()
    state.cut(number=2)
    program_1 = state.open_program(number=3)
    state.transfer(behaviour="ok", is_before=False, program=program_0, trouble="cut")
    state.transfer(behaviour="busy", is_before=True, program=program_1, trouble=None)
    state.ask_again(data=Drawn("k1"), program=program_0)
    state.look()
    state.ask_model(program=program_1)
    state.ask_again(data=Drawn("k2"), program=program_1)
    state.break_store(is_down=True, lost=1)
    state.pass_lease()
    state.look()
    state.mend()


def test_a_call_that_is_tried_again_waits_for_an_owner_that_was_cut_off(state):
    """Its target was busy, and the box was cut off before the next attempt."""
    program_0 = state.open_program(number=1)
    state.ask_again(data=Drawn(None), program=program_0)
    program_1 = state.open_program(number=1)
    state.ask_again(data=Drawn(None), program=program_0)
    state.cut(number=1)
    state.break_store(is_down=False, lost=1)
    state.transfer(behaviour="ok", is_before=False, program=program_1, trouble=None)
    state.look()
    state.look()
    state.look()
    state.look()
    state.transfer(behaviour="busy", is_before=True, program=program_1, trouble="cut")
    state.cut(number=3)
    program_2 = state.open_program(number=2)
    state.break_store(is_down=True, lost=1)
    state.cut(number=2)
    state.kill(number=2)
    state.kill(number=1)
    state.break_store(is_down=False, lost=0)
    state.cut(number=2)
    state.ask_a_stale_home(key=1, number=3, program=program_2)
    state.break_store(is_down=False, lost=1)
    state.cut(number=2)
    state.cut(number=1)
    state.break_store(is_down=True, lost=0)


def test_a_waiting_call_may_run_after_another_request_for_it_was_refused(state):
    """The owner could not confirm that it is one; the first request still waited."""
    state.break_store(is_down=False, lost=0)
    state.cut(number=1)
    state.cut(number=3)
    state.look()
    state.cut(number=0)
    state.mend()
    program_0 = state.open_program(number=2)
    state.cut(number=2)
    state.break_store(is_down=False, lost=1)
    state.ask_again(data=Drawn(None), program=program_0)
    state.ask_a_stale_home(key=2, number=2, program=program_0)
    state.transfer(behaviour="ok", is_before=False, program=program_0, trouble=None)
    state.transfer(behaviour="busy", is_before=True, program=program_0, trouble="kill")
    state.look()
    state.ask_model(program=program_0)
    state.cut(number=1)
    state.break_store(is_down=True, lost=0)
    state.ask_a_stale_home(key=1, number=2, program=program_0)
    state.look()
    state.ask_again(data=Drawn("k1"), program=program_0)
    state.ask_a_stale_home(key=1, number=0, program=program_0)
    state.ask_again(data=Drawn("k1"), program=program_0)
    state.kill(number=0)
    state.ask_again(data=Drawn("k2"), program=program_0)
    state.open_program(number=2)


def test_a_partition_may_be_removed_while_its_box_looks_at_others(state):
    """The box that took it over had dropped it from its view meanwhile."""
    state.kill(number=2)
    state.kill(number=3)
    state.cut(number=1)
    state.cut(number=1)
    state.mend()
    state.mend()
    state.mend()
    state.kill(number=0)
    state.mend()
    state.mend()
    state.kill(number=0)
    state.cut(number=2)
    state.mend()
    state.mend()
    state.cut(number=3)
    state.cut(number=1)
    state.mend()
    state.mend()
    state.cut(number=2)
    state.mend()
    state.mend()
    state.kill(number=0)
    state.mend()
