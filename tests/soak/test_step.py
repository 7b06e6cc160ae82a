"""The steps that a seed draws for planned work."""

from __future__ import annotations

from experiments.soak.step import LOSS_WEIGHTS, PLANNED_WEIGHTS, StepKind, draw_steps


def test_a_seed_draws_the_same_steps_again_and_another_others():
    assert draw_steps(3, 20.0, True) == draw_steps(3, 20.0, True)
    assert draw_steps(3, 20.0, True) != draw_steps(4, 20.0, True)


def test_losses_come_beside_the_planned_work_of_the_same_seed():
    planned = draw_steps(3, 20.0, False)
    steps = draw_steps(3, 20.0, True)
    assert [step for step in steps if step.kind in PLANNED_WEIGHTS] == planned
    assert StepKind.WIPE_AND_KILL_ALL in {step.kind for step in steps}


def test_every_kind_is_drawn_and_signals_come_while_a_box_starts():
    drawn = [step for seed in range(30) for step in draw_steps(seed, 20.0, True)]
    assert {step.kind for step in drawn} == set(StepKind)
    assert set(PLANNED_WEIGHTS) | set(LOSS_WEIGHTS) < set(StepKind)
    signals = [signal for step in drawn for signal in step.signals]
    assert {signal.is_stop for signal in signals} == {False, True}
    assert all(0 <= signal.seconds <= 0.8 for signal in signals)
