"""Entry boxes before targets that leave and are replaced."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

from experiments.leaving_target import LeavingTarget
from experiments.node_site import NodeSite
from experiments.soak.back_end import PLAIN
from experiments.soak.soak_site import make_route

if TYPE_CHECKING:
    from pathlib import Path

DOMAINS: Final = "abc"
ROUTES: Final = [
    make_route("/once/", "non_idempotent", PLAIN),
    make_route("/again/", "idempotent", PLAIN),
]


class LeaveSite:
    """Entries in three failure domains; each target is a process of its own.

    Attributes
    ----------
    targets : list of LeavingTarget
        Those that take calls.
    left : list of LeavingTarget
        Those that have left, also if they have ended.
    """

    def __init__(self, folder: Path, entries: int, targets: int) -> None:
        self.nodes = NodeSite(folder)
        self.entries = [f"entry-{number:02}" for number in range(entries)]
        self.target_count = targets
        self.targets: list[LeavingTarget] = []
        self.left: list[LeavingTarget] = []
        self.numbers = itertools.count()

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.nodes.start_store()
        for number, name in enumerate(self.entries):
            self.nodes.start_entry(name, DOMAINS[number % len(DOMAINS)])
        self.nodes.configure(ROUTES)
        for _ in range(self.target_count):
            self.add_target()
        self.nodes.wait_ready()

    def add_target(self) -> None:
        """Start a target and register it."""
        target_id = f"plain-{next(self.numbers)}"
        self.targets.append(LeavingTarget(self.nodes, target_id, PLAIN))

    def list_all(self) -> list[LeavingTarget]:
        """Return every target that there was."""
        return [*self.targets, *self.left]
