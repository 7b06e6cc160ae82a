"""The count of held bytes that settings ask for."""

from __future__ import annotations

import pytest

from cedarchute.metrics import Metrics
from cedarchute.pressure.held_bytes_factory import make_held_bytes
from cedarchute.pressure.unbounded_bytes import UNBOUNDED
from cedarchute.settings.load_sections import PressureSection


@pytest.mark.parametrize("max_held_mb", [None, 0.0])
def test_without_a_bound_nothing_is_counted(max_held_mb):
    assert make_held_bytes(PressureSection(max_held_mb), Metrics()) is UNBOUNDED


def test_a_bound_is_in_megabytes():
    assert make_held_bytes(PressureSection(2.5), Metrics()).max_bytes == 2_500_000
