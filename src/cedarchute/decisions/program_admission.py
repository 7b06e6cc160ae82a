"""Admits a new program or refuses it at once, to shed load.

If every program is admitted under overload, all of them slow down and miss their
budgets, and goodput collapses. So programs under way always continue, and new ones are
refused as far as the others need it to finish in time.
"""

from __future__ import annotations

import zlib
from typing import Final

from cedarchute.record import Record

# Below this slowdown the engines have spare capacity, and no program is refused.
STRAINED_SLOWDOWN: Final = 1.1
# Shares of its time budget that a program is expected to use at which the first
# programs are refused, and all of them. Refusing begins below the whole budget, because
# many programs take longer than expected and those just admitted slow the engines down
# only later; but not so early that a burst within capacity is shed.
SHEDDING_START_USAGE: Final = 0.85
FULL_SHEDDING_USAGE: Final = 1.0
# Usage by which programs of a more important route are refused later, per rank below
# it; capped, so that less important routes are not starved.
RANK_ALLOWANCE: Final = 0.04
MAX_RANK_ALLOWANCE: Final = 0.08

# Weight of the time lost before admission: a program that was refused before is more
# likely to be late than a new one.
WAIT_WEIGHT: Final = 4.0
# Share of the remaining budget after which a refused caller should retry: early enough
# to still finish in time, late enough for other programs to have ended.
RETRY_BUDGET_FRACTION: Final = 0.3
MIN_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 1.0


class AdmissionInputs(Record):
    """Inputs of an admission decision.

    Attributes
    ----------
    slowdown : float
        Current latency of calls relative to the baseline.
    usual_use : float
        Share of their time budget that programs of this kind use on unloaded engines.
    ranks_behind : int
        Number of ranks of routes that are less important.
    standing : float
        Between 0 and 1, a hash of the program's name: see `find_standing`.
    aim_seconds : float or None
        Time left in the program's budget, as stated by the caller.
    waited_seconds : float
        Time since the program was first requested, at any box.
    """

    slowdown: float
    usual_use: float
    ranks_behind: int
    standing: float
    aim_seconds: float | None
    waited_seconds: float = 0.0

    @property
    def expected_use(self) -> float:
        """Share of its budget that the program will have used at its end."""
        budget_seconds = self.waited_seconds + (self.aim_seconds or 0.0)
        waited = self.waited_seconds / budget_seconds if budget_seconds > 0 else 0.0
        return WAIT_WEIGHT * waited + self.slowdown * self.usual_use


class AdmissionDecision(Record):
    """Whether a program is admitted; if not, when its caller should retry."""

    admitted: bool
    refused_share: float
    retry_after_seconds: float = 0.0


def decide_admission(inputs: AdmissionInputs) -> AdmissionDecision:
    """Return whether a new program is admitted."""
    if inputs.slowdown < STRAINED_SLOWDOWN:
        return AdmissionDecision(True, 0.0)
    allowance = min(MAX_RANK_ALLOWANCE, RANK_ALLOWANCE * inputs.ranks_behind)
    excess = inputs.expected_use - allowance - SHEDDING_START_USAGE
    share = excess / (FULL_SHEDDING_USAGE - SHEDDING_START_USAGE)
    share = min(1.0, max(0.0, share))
    if inputs.standing >= share:
        return AdmissionDecision(True, share)
    return AdmissionDecision(False, share, compute_retry_seconds(inputs.aim_seconds))


def find_standing(program: str) -> float:
    """Return a hash of a program's name between 0 and 1, the same at every box.

    A refused program is refused at every box and at every retry until the load falls.
    Those admitted are thus admitted at their first attempt, with their whole budget.
    """
    return zlib.crc32(program.encode()) / 2**32


def compute_retry_seconds(aim_seconds: float | None) -> float:
    """Return the delay after which a refused caller should retry."""
    if aim_seconds is None:
        return MIN_RETRY_SECONDS
    delay_seconds = RETRY_BUDGET_FRACTION * aim_seconds
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, delay_seconds))
