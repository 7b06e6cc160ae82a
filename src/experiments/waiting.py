"""Waits on conditions, never on time alone."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

ValueT = TypeVar("ValueT")

POLL_SECONDS: Final = 0.05


class ConditionError(Exception):
    """A condition did not come true in time."""

    code = "condition"


def wait_until(
    condition: Callable[[], ValueT], what: str, seconds: float = 30.0
) -> ValueT:
    """Return the first true value of `condition`.

    Raises
    ------
    ConditionError
        When it stays false for `seconds`; says what was waited for.
    """
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise ConditionError(f"not within {seconds:g} s: {what}")
        time.sleep(POLL_SECONDS)
