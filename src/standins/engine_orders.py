"""What an engine serves, and the orders that change it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import eventlet
import urllib3

from standins.serving import reply

if TYPE_CHECKING:
    import argparse
    from collections import Counter

    from werkzeug.wrappers import Request, Response

WEIGHTS_SECONDS: Final = 5.0


class EngineOrders:
    """Takes orders, with or without a look at their fencing numbers."""

    def __init__(self, arguments: argparse.Namespace, counts: Counter[str]) -> None:
        self.arguments = arguments
        self.counts = counts
        self.order: dict[str, Any] = {
            "model": arguments.model,
            "version": arguments.version,
            "adapters": [],
        }
        self.role = "both"
        self.fence = 0

    def on_order(self, request: Request) -> Response:
        """Take an order."""
        body = request.get_json(force=True)
        fence = int(body["fence"])
        if self.arguments.checks_fence and fence < self.fence:
            self.counts["orders_refused"] += 1
            return reply({"error": "old fence", "fence": self.fence}, 409)
        if not self.has_weights(body):
            return reply({"error": "no weights"}, 503)
        self.fence = max(self.fence, fence)
        self.counts["orders"] += 1
        for key in self.order:
            self.order[key] = body.get(key, self.order[key])
        self.role = body.get("role", self.role)
        eventlet.sleep(self.arguments.load_model_seconds)
        return reply(self.state())

    def has_weights(self, body: dict[str, Any]) -> bool:
        """Fetch the weights of an order; False when the weight store refuses."""
        if not self.arguments.weight_store:
            return True
        model, version = body.get("model"), body.get("version") or "none"
        url = f"http://{self.arguments.weight_store}/weights/{model}/{version}"
        return urllib3.request("GET", url, timeout=WEIGHTS_SECONDS).status == 200

    def state(self) -> dict[str, Any]:
        """Return what the engine serves."""
        return {**self.order, "role": self.role, "fence": self.fence}

    def on_state(self, request: Request) -> Response:
        """Say what the engine serves."""
        return reply(self.state())
