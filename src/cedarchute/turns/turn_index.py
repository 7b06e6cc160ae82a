"""Finds the programs of completed turns by the ids of these turns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.turns.program_key import read_workspace

if TYPE_CHECKING:
    from collections.abc import Iterator


class TurnIndex:
    """Maps ids of turns to programs.

    Callers choose the ids, so turns of several programs, and of several workspaces,
    can have the same one.

    Attributes
    ----------
    programs : dict of str to str
        The first program with a turn of an id.
    further : dict of str to list of str
        The other programs with such a turn; only ids that were reused.
    """

    def __init__(self) -> None:
        self.programs: dict[str, str] = {}
        self.further: dict[str, list[str]] = {}

    def __len__(self) -> int:
        """Return the number of turns."""
        return len(self.programs) + sum(map(len, self.further.values()))

    def __iter__(self) -> Iterator[str]:
        """Iterate over the ids."""
        return iter(self.programs)

    def add(self, turn: str, program: str) -> None:
        """Add a turn of a program."""
        first = self.programs.setdefault(turn, program)
        if first == program:
            return
        further = self.further.setdefault(turn, [])
        if program not in further:
            further.append(program)

    def remove(self, turn: str, program: str) -> None:
        """Remove the turn of one program; those of others remain."""
        further = self.further.get(turn, [])
        if self.programs.get(turn) != program:
            if program in further:
                further.remove(program)
        elif further:
            self.programs[turn] = further.pop(0)
        else:
            del self.programs[turn]
        if not further:
            self.further.pop(turn, None)

    def find(self, turn: str, near: str | None = None) -> str | None:
        """Return a program with a turn, or None.

        Of several it is `near`, else the first one of the same workspace; no workspace
        is shown the turns of another. Without `near` it is the first of all.
        """
        first = self.programs.get(turn)
        if first is None or near is None:
            return first
        programs = [first, *self.further.get(turn, ())]
        if near in programs:
            return near
        workspace = read_workspace(near)
        return next((p for p in programs if read_workspace(p) == workspace), None)
