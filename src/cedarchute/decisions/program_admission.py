"""Admits a new program or rejects it at once, to shed load.

If every program is admitted under overload, all of them slow down and miss their soft
deadlines, and goodput collapses. So programs under way always continue, and new ones
are rejected as far as the others need it to finish in time.
"""

from __future__ import annotations

import zlib
from typing import Final

from cedarchute.record import Record

# Below this slowdown the engines have spare capacity, and no program is rejected.
MIN_SHEDDING_SLOWDOWN: Final = 1.1
# Shares of the soft deadline that a program is expected to use at which the first
# programs are rejected, and all of them. Shedding starts below 1, because half of all
# programs take longer than expected and those just admitted slow the engines down only
# later; but not so early that a burst within capacity is shed.
SHEDDING_START_USAGE: Final = 0.85
FULL_SHEDDING_USAGE: Final = 1.0
# Usage by which programs of a more important route are rejected later, per rank below
# it, and its cap; without it, they would be served less than others.
RANK_ALLOWANCE: Final = 0.04
MAX_RANK_ALLOWANCE: Final = 0.08

# Weight of the time lost before admission: a program that was rejected before is more
# likely to be late than a new one, and would take the place of one that is not.
WAIT_WEIGHT: Final = 4.0
# Share of the time left after which a rejected caller should retry: early enough to
# still finish in time, late enough for other programs to have ended.
RETRY_DEADLINE_FRACTION: Final = 0.3
MIN_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 1.0


class AdmissionInputs(Record):
    """Inputs of an admission decision.

    Attributes
    ----------
    slowdown : float
        Current latency of calls relative to the baseline.
    typical_deadline_usage : float
        Share of their soft deadline that programs of this kind use on unloaded engines.
    lower_ranks : int
        Number of ranks of routes that are less important.
    shedding_hash : float
        Between 0 and 1, a hash of the program's name: see `compute_shedding_hash`.
    soft_deadline_seconds : float or None
        Time left until the program's soft deadline, as stated by the caller.
    waited_seconds : float
        Time since the program was first requested, at any box.
    """

    slowdown: float
    typical_deadline_usage: float
    lower_ranks: int
    shedding_hash: float
    soft_deadline_seconds: float | None
    waited_seconds: float = 0.0

    @property
    def expected_deadline_usage(self) -> float:
        """Share of its soft deadline that the program will have used at its end."""
        deadline_seconds = self.waited_seconds + (self.soft_deadline_seconds or 0.0)
        waited = self.waited_seconds / deadline_seconds if deadline_seconds > 0 else 0.0
        return WAIT_WEIGHT * waited + self.slowdown * self.typical_deadline_usage


class AdmissionDecision(Record):
    """Whether a program is admitted; if not, when its caller should retry."""

    admitted: bool
    refused_share: float
    retry_after_seconds: float = 0.0


def decide_admission(inputs: AdmissionInputs) -> AdmissionDecision:
    """Return whether a new program is admitted."""
    if inputs.slowdown < MIN_SHEDDING_SLOWDOWN:
        return AdmissionDecision(True, 0.0)
    allowance = min(MAX_RANK_ALLOWANCE, RANK_ALLOWANCE * inputs.lower_ranks)
    excess = inputs.expected_deadline_usage - allowance - SHEDDING_START_USAGE
    share = excess / (FULL_SHEDDING_USAGE - SHEDDING_START_USAGE)
    share = min(1.0, max(0.0, share))
    if inputs.shedding_hash >= share:
        return AdmissionDecision(True, share)
    return AdmissionDecision(
        False, share, compute_retry_seconds(inputs.soft_deadline_seconds)
    )


def compute_shedding_hash(program: str) -> float:
    """Return a hash of a program's name between 0 and 1, the same at every box.

    A rejected program is rejected at every box and at every retry until the load falls.
    Those admitted are thus admitted at their first attempt, with all of their time.
    """
    return zlib.crc32(program.encode()) / 2**32


def compute_retry_seconds(soft_deadline_seconds: float | None) -> float:
    """Return the delay after which a rejected caller should retry."""
    if soft_deadline_seconds is None:
        return MIN_RETRY_SECONDS
    delay_seconds = RETRY_DEADLINE_FRACTION * soft_deadline_seconds
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, delay_seconds))
