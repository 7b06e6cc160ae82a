"""What one box saw of a target."""

from __future__ import annotations

import msgspec


class TargetReport(msgspec.Struct, frozen=True, array_like=True):
    """What a box saw of one incarnation of a target since its last report.

    Attributes
    ----------
    active : int
        Calls of the box under way there.
    mean_ms : int
        Mean duration of its calls in milliseconds; 0 if none has finished.
    failure_percent : int
        Percentage of its calls that failed without a response.
    age_ms : int
        Age when it was sent, in milliseconds.
    """

    incarnation: str
    active: int
    mean_ms: int
    failure_percent: int
    age_ms: int = 0
