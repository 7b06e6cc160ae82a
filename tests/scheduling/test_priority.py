from __future__ import annotations

import pytest

from cedarchute.operators.site_file import Order
from cedarchute.scheduling.priority import PriorityInputs, compute_priority


def standing(**fields):
    values = {
        "opened_at": 1000.0,
        "age_seconds": 0.0,
        "attained_tokens": 0,
        "weight": 1.0,
    }
    return PriorityInputs(**{**values, **fields})


@pytest.mark.parametrize(
    ("order", "first", "last"),
    [
        (Order.OLDEST, {"opened_at": 990.0}, {"opened_at": 1000.0}),
        (Order.OLDEST, {"opened_at": 1001.0, "weight": 2.0}, {}),
        (Order.ATTAINED, {}, {"attained_tokens": 100_000}),
        (
            Order.ATTAINED,
            {"attained_tokens": 10_000, "weight": 4.0},
            {"attained_tokens": 10_000},
        ),
        (
            Order.ATTAINED,
            {"attained_tokens": 10_000, "age_seconds": 200.0},
            {"attained_tokens": 10_000},
        ),
    ],
)
def test_what_goes_first(order, first, last):
    before = compute_priority(order, standing(**first))
    assert before < compute_priority(order, standing(**last))
