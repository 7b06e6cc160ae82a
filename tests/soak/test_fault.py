"""The faults that a seed draws."""

from __future__ import annotations

from experiments.soak.fault import FaultKind, draw_faults


def test_a_seed_draws_the_same_faults_again_and_another_others():
    assert draw_faults(3, 20.0) == draw_faults(3, 20.0)
    assert draw_faults(3, 20.0) != draw_faults(4, 20.0)


def test_every_kind_is_drawn_and_a_disk_is_lost_at_most_once():
    kinds = set()
    for seed in range(100):
        faults = draw_faults(seed, 20.0)
        drawn = [fault.kind for fault in faults]
        assert drawn.count(FaultKind.WIPE) <= 1
        assert all(0 <= fault.at <= 20 for fault in faults)
        kinds |= set(drawn)
    assert kinds == set(FaultKind)
