"""A stand-in for a plain service or tool; it counts what ran by key."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import argparse
from collections import Counter
from typing import TYPE_CHECKING

from standins.serving import StandIn, reply

if TYPE_CHECKING:
    from werkzeug.wrappers import Request, Response


class Service(StandIn):
    """Runs each call that arrives, also the same one twice, and counts them.

    ``POST /switch`` makes it hang, slow, busy, or break off after the effect.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ran: Counter[str] = Counter()
        self.log: list[dict[str, str]] = []
        self.hang = False
        self.delay = 0.0
        self.busy = 0
        self.fail_after_effect = 0
        self.add("POST", "/call", self.on_call)
        self.add("GET", "/ran", self.on_ran)
        self.add("POST", "/switch", self.on_switch)

    def on_call(self, request: Request) -> Response:
        """Run one call."""
        key = request.headers.get("idempotency-key", "")
        body = request.get_json(force=True)
        if self.busy > 0:
            self.busy -= 1
            return reply({"error": "busy"}, 503)
        self.ran[key] += 1
        program = request.headers.get("cedarchute-program", "")
        self.log.append({"key": key, "program": program})
        delay = self.delay
        if isinstance(body, dict):
            delay = float(body.get("seconds", delay))
        if delay:
            eventlet.sleep(delay)
        while self.hang:
            eventlet.sleep(0.1)
        if self.fail_after_effect > 0:
            self.fail_after_effect -= 1
            return reply({"error": "failed after the effect"}, 500)
        return reply({"done": body, "count": self.ran[key]})

    def on_ran(self, request: Request) -> Response:
        """Say how often each key ran, and in which order."""
        return reply({"ran": dict(self.ran), "log": self.log})

    def on_switch(self, request: Request) -> Response:
        """Bring a failure about, or end it."""
        body = request.get_json(force=True)
        self.hang = body.get("hang", self.hang)
        self.delay = body.get("delay", self.delay)
        self.busy = body.get("busy", self.busy)
        self.fail_after_effect = body.get("fail_after_effect", self.fail_after_effect)
        return reply({})


def main() -> None:
    """Serve the service."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    Service().serve(arguments.host, arguments.port)


if __name__ == "__main__":
    main()
