"""Keys of programs that are unique across workspaces."""

from __future__ import annotations

from typing import Final

# Not allowed in headers, so no caller can forge the key of another workspace.
SEPARATOR: Final = "\n"


def make_program_key(workspace: str, program: str) -> str:
    """Return the key under which holders store a program.

    Without a workspace, the key is the program's id alone. No workspace can continue
    such a program, so that its history never leaks to another workspace.
    """
    return f"{workspace}{SEPARATOR}{program}" if workspace else program


def read_workspace(program_key: str) -> str:
    """Return the workspace in a program key, or an empty string."""
    workspace, separator, _ = program_key.partition(SEPARATOR)
    return workspace if separator else ""
