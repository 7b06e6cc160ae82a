"""The HTTP interface between boxes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.border.web_app import WebApp, make_message_response

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any

    from werkzeug.wrappers import Request, Response

    from cedarchute.message import Message
    from cedarchute.metrics import Metrics


class PeerApp(WebApp):
    """Serves messages of other boxes and operators' requests.

    Parameters
    ----------
    fallback : Callable
        WSGI application for all other paths: callers' requests that a box forwards.
    """

    def __init__(
        self,
        fallback: Callable[..., Iterable[bytes]],
        max_body_bytes: int,
        metrics: Metrics,
    ) -> None:
        super().__init__(max_body_bytes, metrics)
        self.fallback = fallback

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request as a WSGI application."""
        path = environ["PATH_INFO"]
        if path.startswith(("/peer/", "/operators/")):
            return super().__call__(environ, start_response)
        return self.fallback(environ, start_response)

    def add_message(
        self, name: str, model: type[Message], handler: Callable[[Any], Message]
    ) -> None:
        """Route messages posted to ``/peer/{name}``, parsed as `model`."""

        def on_request(request: Request) -> Response:
            return make_message_response(handler(self.read_message(request, model)))

        self.add("POST", f"/peer/{name}", on_request)
