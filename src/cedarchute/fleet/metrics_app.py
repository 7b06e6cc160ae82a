"""Serves the counters and latency histograms of a box as text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cedarchute.metrics import Metrics

METRICS_PATH: Final = "/metrics"
TEXT_TYPE: Final = "text/plain; version=0.0.4"


class MetricsApp:
    """WSGI application that serves the metrics page."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle a request."""
        if environ["PATH_INFO"] != METRICS_PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body = self.metrics.render_text().encode()
        fields = [("Content-Type", TEXT_TYPE), ("Content-Length", str(len(body)))]
        start_response("200 OK", fields)
        return [body]
