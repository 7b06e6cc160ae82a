"""A stand-in for the statsd server: adds counters up and shows them."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import argparse
import socket
from collections import Counter
from typing import TYPE_CHECKING

from standins.serving import StandIn, reply

if TYPE_CHECKING:
    from werkzeug.wrappers import Request, Response


class StatsdReceiver(StandIn):
    """Takes datagrams on the port on which it answers HTTP."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self.counters: Counter[str] = Counter()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, port))
        self.add("GET", "/counters", self.on_counters)
        eventlet.spawn_n(self.receive_forever)

    def receive_forever(self) -> None:
        """Add up the counters of each datagram."""
        while True:
            data, _ = self.socket.recvfrom(65_536)
            for line in data.decode(errors="replace").splitlines():
                name, _, rest = line.partition(":")
                value, _, kind = rest.partition("|")
                if kind.startswith("c"):
                    self.counters[name] += int(float(value))

    def on_counters(self, request: Request) -> Response:
        """Give the counters."""
        return reply(dict(self.counters))


def main() -> None:
    """Receive and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    receiver = StatsdReceiver(arguments.host, arguments.port)
    receiver.serve(arguments.host, arguments.port)


if __name__ == "__main__":
    main()
