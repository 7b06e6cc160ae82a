"""A stand-in for the platform's list of boxes; changes show with a lag."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import argparse
import time
from typing import TYPE_CHECKING

from standins.serving import StandIn, reply

if TYPE_CHECKING:
    from werkzeug.wrappers import Request, Response


class BoxList(StandIn):
    """Names and states; ``POST /switch`` with ``name`` and ``state`` sets one."""

    def __init__(self, lag: float) -> None:
        super().__init__()
        self.lag = lag
        self.changes: list[tuple[float, str, str]] = []
        self.add("GET", "/boxes", self.on_boxes)
        self.add("POST", "/switch", self.on_switch)

    def on_boxes(self, request: Request) -> Response:
        """Give the list as it was some time ago."""
        ripe = time.monotonic() - self.lag
        states = {name: state for at, name, state in self.changes if at <= ripe}
        boxes = [{"name": name, "state": state} for name, state in states.items()]
        return reply({"boxes": boxes})

    def on_switch(self, request: Request) -> Response:
        """Set the state of one box."""
        body = request.get_json(force=True)
        self.changes.append((time.monotonic(), body["name"], body["state"]))
        return reply({})


def main() -> None:
    """Serve the list."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--lag", type=float, default=2.0)
    arguments = parser.parse_args()
    BoxList(arguments.lag).serve(arguments.host, arguments.port)


if __name__ == "__main__":
    main()
