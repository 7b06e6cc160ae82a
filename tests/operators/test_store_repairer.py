from __future__ import annotations

import random

import pytest

from cedarchute.operators.store_repairer import LOOKS_A_SECOND, StoreRepairer


@pytest.mark.parametrize("boxes", [1, 8, 64, 380])
def test_the_looks_at_the_store_do_not_grow_with_the_boxes(boxes):
    repairer = StoreRepairer(None, lambda: boxes, random.Random(1))
    assert boxes / repairer.seconds <= LOOKS_A_SECOND
    # Somebody looks within seconds, however many boxes there are.
    assert repairer.seconds / boxes <= 2.0
