"""Names a program over all workspaces: two may choose the same id."""

from __future__ import annotations

from typing import Final

# No header can hold it, so no caller can name a program of another workspace.
SEPARATOR: Final = "\n"


def make_program_key(workspace: str, program: str) -> str:
    """Return the name under which holders keep a program.

    A call that is nobody's, and what was written before calls had workspaces, goes
    under the program's id alone. No workspace can go on from that: nobody could say
    whose it was, and a history given to the wrong one is worse than one asked for anew.
    """
    return f"{workspace}{SEPARATOR}{program}" if workspace else program


def read_workspace(program_key: str) -> str:
    """Return the workspace of a program, empty when it is nobody's."""
    workspace, separator, _ = program_key.partition(SEPARATOR)
    return workspace if separator else ""
