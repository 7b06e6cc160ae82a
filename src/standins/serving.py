"""What the stand-ins share: a router, JSON bodies and a server."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import eventlet
import eventlet.wsgi
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator


class StandIn:
    """A WSGI application whose routes are methods of a subclass."""

    def __init__(self) -> None:
        self.rules = Map()
        self.handlers: dict[str, Callable[..., Response]] = {}

    def add(self, method: str, path: str, handler: Callable[..., Response]) -> None:
        """Route `method` on `path` to `handler`."""
        endpoint = f"{method} {path}"
        self.rules.add(Rule(path, methods=[method], endpoint=endpoint))
        self.handlers[endpoint] = handler

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        environ["eventlet.minimum_write_chunk_size"] = 0
        request = Request(environ)
        try:
            endpoint, values = self.rules.bind_to_environ(environ).match()
            response = self.handlers[endpoint](request, **values)
        except HTTPException as error:
            response = error.get_response(environ)
        return response(environ, start_response)

    def serve(self, host: str, port: int) -> None:
        """Serve until the process ends."""
        listener = eventlet.listen((host, port), reuse_port=False, backlog=512)
        eventlet.wsgi.server(
            listener, self, log_output=False, max_size=4096, keepalive=60
        )


def reply(document: object, status: int = 200) -> Response:
    """Return `document` as a JSON response."""
    return Response(
        json.dumps(document), status=status, content_type="application/json"
    )


def stream(parts: Iterator[bytes], content_type: str) -> Response:
    """Return a response that passes each part on at once."""
    return Response(parts, content_type=content_type, direct_passthrough=True)
