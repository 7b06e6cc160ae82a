"""An ordinary caller beside the crowds, whose turns each continue the one before."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from experiments.raw_caller import call

if TYPE_CHECKING:
    from experiments.node_site import NodeSite

PAUSE_SECONDS: Final = 0.2
# How long a turn that was answered is asked for once the crowds have gone.
LAST_SECONDS: Final = 30.0
PATIENCE_MS: Final = 6000
OK: Final = 200
# No box may say so of a turn that was answered.
UNKNOWN: Final = 404


class KeptProgram:
    """Takes turn after turn at one entry; retries those that got no answer.

    Attributes
    ----------
    last : str
        The newest turn that was answered whole.
    broken : list of str
        Turns that were answered and are forgotten.
    """

    def __init__(self, site: NodeSite, entry: str) -> None:
        self.site = site
        self.entry = entry
        self.program = f"program-{entry}"
        self.last = ""
        self.answered = 0
        self.tries = 0
        self.broken: list[str] = []
        self.going = True
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Take turns until told to stop."""
        while self.going:
            self.take_turn()
            time.sleep(PAUSE_SECONDS)

    def take_turn(self) -> int:
        """Take one turn that continues the last one; return its status, 0 for none."""
        self.tries += 1
        turn = f"{self.program}-{self.tries}"
        lines = [f"Program-Id: {self.program}", "Token-Count: 100,30"]
        if self.last:
            lines.append(f"Previous-Turn: {self.last}")
        headers = "".join(line + "\r\n" for line in lines).encode()
        try:
            status, _, _ = call(
                self.site.callers[self.entry],
                b"/turn/x",
                turn.encode(),
                b"said",
                headers=headers,
                patience=PATIENCE_MS,
            )
        except (OSError, AssertionError, ValueError, IndexError):
            return 0  # The box is gone or closed the connection.
        if status == OK:
            self.last = turn
            self.answered += 1
        if status == UNKNOWN:
            self.broken.append(f"FORGOTTEN {self.last}")
        return status

    def finish(self) -> None:
        """Stop, and take a last turn, which must be served before long."""
        self.going = False
        self.thread.join()
        until = time.monotonic() + LAST_SECONDS
        while self.take_turn() != OK:
            if time.monotonic() > until:
                self.broken.append(f"UNSERVED {self.program}")
                return
            time.sleep(PAUSE_SECONDS)
