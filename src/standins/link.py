"""A stand-in for one network link: passes bytes on, slowly or not at all.

A cut link says nothing: what was connected stays connected and no byte arrives, and
a new connection is taken but never answered, as with a partition.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import argparse
from typing import TYPE_CHECKING, Any, Final

from standins.serving import StandIn, reply

if TYPE_CHECKING:
    from werkzeug.wrappers import Request, Response

READ_BYTES: Final = 65_536
CUT_POLL_SECONDS: Final = 0.02


class Link(StandIn):
    """Listens for one address; ``POST /switch`` cuts the link or makes it slow."""

    def __init__(self, host: str, to_port: int) -> None:
        super().__init__()
        self.to = (host, to_port)
        self.is_cut = False
        self.delay_seconds = 0.0
        self.add("POST", "/switch", self.on_switch)
        self.add("GET", "/", self.on_look)

    def on_look(self, request: Request) -> Response:
        """Say how the link is."""
        del request
        return reply({"cut": self.is_cut, "delay_seconds": self.delay_seconds})

    def on_switch(self, request: Request) -> Response:
        """Cut the link, make it slow, or mend it."""
        body = request.get_json(force=True)
        self.is_cut = body.get("cut", self.is_cut)
        self.delay_seconds = body.get("delay_seconds", self.delay_seconds)
        return reply({})

    def pass_on(self, near: Any, address: object) -> None:
        """Connect one connection through."""
        del address
        self.wait_whole()
        try:
            far = eventlet.connect(self.to)
        except OSError:
            near.close()
            return
        eventlet.spawn_n(self.copy, far, near)
        self.copy(near, far)

    def copy(self, source: Any, sink: Any) -> None:
        """Copy one direction until it ends."""
        try:
            while data := source.recv(READ_BYTES):
                self.wait_whole()
                eventlet.sleep(self.delay_seconds)
                sink.sendall(data)
        except (OSError, EOFError):
            # The other direction has closed both ends.
            pass
        for end in (source, sink):
            end.close()

    def wait_whole(self) -> None:
        """Return when the link is not cut."""
        while self.is_cut:
            eventlet.sleep(CUT_POLL_SECONDS)


def main() -> None:
    """Serve the link."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True, help="of its switch")
    parser.add_argument("--link_port", type=int, required=True)
    parser.add_argument("--to_port", type=int, required=True)
    arguments = parser.parse_args()
    link = Link(arguments.host, arguments.to_port)
    listener = eventlet.listen((arguments.host, arguments.link_port), reuse_port=False)
    eventlet.spawn_n(eventlet.serve, listener, link.pass_on)
    link.serve(arguments.host, arguments.port)


if __name__ == "__main__":
    main()
