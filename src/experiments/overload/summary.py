"""What a replay came to, over the programs that began in a span of time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from experiments.overload.program import ProgramResult


@dataclass(frozen=True)
class Summary:
    """Programs that began in a span, by how they ended.

    Attributes
    ----------
    turns_a_second : float
        Turns of the programs that ended in time, by the length of the span: what
        engines did that was of use.
    """

    asked: int
    in_aim: int
    late: int
    given_up: int
    turns_a_second: float


def summarize(
    results: list[ProgramResult], start: float, end: float, kind: str = ""
) -> Summary:
    """Return what became of the programs that began from `start` to `end`, seconds."""
    begun = [r for r in results if start <= r.began_at < end and kind in ("", r.kind)]
    in_aim = [r for r in begun if r.in_aim]
    ended = [r for r in begun if r.ended_at is not None]
    return Summary(
        asked=len(begun),
        in_aim=len(in_aim),
        late=len(ended) - len(in_aim),
        given_up=len(begun) - len(ended),
        turns_a_second=sum(r.turns for r in in_aim) / (end - start),
    )
