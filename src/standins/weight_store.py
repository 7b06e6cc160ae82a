"""A stand-in for the rate-limited store of model weights."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import argparse
import time
from collections import Counter
from typing import TYPE_CHECKING

from standins.serving import StandIn, reply

if TYPE_CHECKING:
    from werkzeug.wrappers import Request, Response


class WeightStore(StandIn):
    """Gives weights, one at a time and so many a second."""

    def __init__(self, per_second: float) -> None:
        super().__init__()
        self.per_second = per_second
        self.free_at = 0.0
        self.counts: Counter[str] = Counter()
        self.add("GET", "/weights/<model>/<version>", self.on_weights)
        self.add("GET", "/counts", self.on_counts)

    def on_weights(self, request: Request, model: str, version: str) -> Response:
        """Give the weights of a version, or refuse when asked too often."""
        now = time.monotonic()
        if now < self.free_at:
            self.counts["refused"] += 1
            return reply({"error": "over the rate"}, 429)
        self.free_at = now + 1.0 / self.per_second
        self.counts["given"] += 1
        return reply({"model": model, "version": version})

    def on_counts(self, request: Request) -> Response:
        """Say how often weights were given and refused."""
        return reply(dict(self.counts))


def main() -> None:
    """Serve the weights."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--per_second", type=float, default=2.0)
    arguments = parser.parse_args()
    WeightStore(arguments.per_second).serve(arguments.host, arguments.port)


if __name__ == "__main__":
    main()
