"""What a seed says about machines that come and go."""

from __future__ import annotations

import pytest

from experiments.soak.shape import DRAWN, draw_shape
from experiments.soak.turnover_step import TurnoverKind, draw_turnover

SEEDS = range(100)
SECONDS = 60.0
FINAL = (TurnoverKind.KILL_ALL, TurnoverKind.LOSE_DISK_AND_KILL_ALL)


@pytest.mark.parametrize("seed", SEEDS)
def test_steps_come_in_order_and_end_with_a_final_fault(seed):
    steps = draw_turnover(seed, SECONDS)
    times = [step.at for step in steps]
    assert times == sorted(times)
    assert times[-1] == SECONDS
    assert steps[-1].kind in FINAL


def test_a_seed_says_the_same_each_time():
    assert draw_turnover(3, SECONDS) == draw_turnover(3, SECONDS)
    assert draw_turnover(3, SECONDS) != draw_turnover(4, SECONDS)
    assert draw_shape(3) == draw_shape(3)


def test_every_kind_and_every_shape_is_drawn():
    kinds = {step.kind for seed in SEEDS for step in draw_turnover(seed, SECONDS)}
    assert kinds == set(TurnoverKind)
    shapes = [draw_shape(seed) for seed in SEEDS]
    drawn = {(shape.seats, shape.losses, shape.spares) for shape in shapes}
    assert drawn == set(DRAWN)


@pytest.mark.parametrize("seed", SEEDS)
def test_every_seat_has_a_failure_domain_and_bears_the_losses(seed):
    shape = draw_shape(seed)
    assert len(set(shape.domains)) == shape.seats
    assert shape.seats >= 2 * shape.losses + 1
