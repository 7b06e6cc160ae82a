"""How far a process has come with its start."""

from __future__ import annotations

from pathlib import Path
from typing import Final

# Named in the memory map of a process from the import of the module on.
SOCKET_MODULE: Final = "/_socket."


def can_be_reached(pid: int) -> bool:
    """Whether a process has loaded what it needs to listen or to connect.

    Before that, a signal ends the interpreter whatever the program does, and no caller
    can have sent it anything. True also for a process that is gone.
    """
    try:
        memory_map = Path(f"/proc/{pid}/maps").read_text(errors="replace")
    except OSError:
        return True
    return not memory_map or SOCKET_MODULE in memory_map
