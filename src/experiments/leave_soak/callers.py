"""Callers that use their connections until these are gone."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from experiments.raw_caller import RawCaller, build_request

if TYPE_CHECKING:
    from experiments.leave_soak.leave_site import LeaveSite

PAUSE_SECONDS: Final = 0.04
RECONNECT_SECONDS: Final = 0.1
# How long a caller stays; longer than faults take.
PATIENCE_SECONDS: Final = 6.0


class LeaveCaller:
    """Sends one call after the other to one box.

    Attributes
    ----------
    statuses : dict of str to int
        Status of each call by its id; 0 if its connection ended before.
    """

    def __init__(self, site: LeaveSite, box: str, path: bytes) -> None:
        self.site = site
        self.box = box
        self.path = path
        self.statuses: dict[str, int] = {}
        self.going = True
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Call until told to stop."""
        while self.going:
            try:
                address = self.site.nodes.callers[self.box]
                with RawCaller(address, PATIENCE_SECONDS) as caller:
                    while self.going:
                        self.call(caller)
                        time.sleep(PAUSE_SECONDS)
            except (OSError, AssertionError, ValueError, IndexError):
                # The box is gone or closed the connection: as a caller, come again.
                time.sleep(RECONNECT_SECONDS)

    def call(self, caller: RawCaller) -> None:
        """Send a call and wait for its answer."""
        kind = self.path.decode().strip("/")
        call_id = f"{self.box}.{kind}.{len(self.statuses)}"
        self.statuses[call_id] = 0
        patience = round(1000 * PATIENCE_SECONDS)
        request = build_request(self.path + b"x", call_id.encode(), patience=patience)
        caller.send(request)
        self.statuses[call_id] = caller.read_answer()[0]
