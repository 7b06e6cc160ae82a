"""What holders tell an entry of a turn that may run, and of a program."""

from __future__ import annotations

from cedarchute.record import Record


class TurnAdmission(Record):
    """A turn may run: what its prompt goes on from, and who ran the last one.

    Attributes
    ----------
    age_seconds : float or None
        How long ago the program was first asked about, if that is known.
    """

    text: bytes
    target: str
    age_seconds: float | None = None


class ProgramUsage(Record):
    """Tokens generated or reserved, and the time since it was first asked about."""

    spent: int
    age_seconds: float | None


def find_age(ages: list[float | None]) -> float | None:
    """Return the age of a program by what holders know: the one told first counts."""
    return max((age for age in ages if age is not None), default=None)
