"""Results of admission requests to the holders of a program."""

from __future__ import annotations

from cedarchute.record import Record


class TurnAdmission(Record):
    """Context of an admitted turn: text of its chain and target of its last turn.

    Attributes
    ----------
    age_seconds : float or None
        Time since the first request about the program, if known.
    programs : tuple of str
        The programs of the turns in the chain.
    """

    text: bytes
    target: str
    age_seconds: float | None = None
    programs: tuple[str, ...] = ()


class ProgramUsage(Record):
    """Tokens used or reserved, and the time since the first request."""

    spent: int
    age_seconds: float | None


def max_age(ages: list[float | None]) -> float | None:
    """Return the largest known age, or None."""
    return max((age for age in ages if age is not None), default=None)
