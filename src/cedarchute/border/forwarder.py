"""Forwards requests to the box that owns a program."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import urllib3
from werkzeug.wrappers import Response

from cedarchute.answer_bound import AnswerBound
from cedarchute.border.reroute_error import RerouteError
from cedarchute.host_pools import HostPools
from cedarchute.peers.peer_client import is_refused

if TYPE_CHECKING:
    from collections.abc import Iterator

    from urllib3.response import BaseHTTPResponse

    from cedarchute.border.forwarded_request import ForwardedRequest
    from cedarchute.border.owner_watch import OwnerWatch
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics

HOPS_HEADER: Final = "Cedarchute-Hops"
REROUTE_HEADER: Final = "Cedarchute-Reroute"
MAX_CONNECTIONS_PER_HOST: Final = 128
MAX_HOSTS: Final = 128
STREAM_BOUND: Final = AnswerBound(64_000_000, is_stream=True)
CONNECT_SECONDS: Final = 1.0
FORWARDED_HEADERS: Final = (
    "Content-Type",
    "Retry-After",
    "Cedarchute-Verdict",
    "Last-Event-Id",
)


class Forwarder:
    """Forwards requests to other boxes over pooled connections."""

    def __init__(self, view: View, watch: OwnerWatch, metrics: Metrics) -> None:
        self.view = view
        self.watch = watch
        self.metrics = metrics
        self.pools = HostPools(MAX_CONNECTIONS_PER_HOST, MAX_HOSTS, STREAM_BOUND)

    def open(self, request: ForwardedRequest) -> BaseHTTPResponse:
        """Send a request to another box; return the response with its body unread.

        Raises
        ------
        RerouteError
            When the box does not respond, or does not own the program.
        """
        self.metrics.count("forwarded")
        box = request.box
        try:
            with self.watch.waiting(request.partition, box.identity):
                response = self.pools.request(
                    request.method,
                    box.peer_address,
                    request.path,
                    body=request.body,
                    headers={**request.headers, HOPS_HEADER: "1"},
                    preload_content=False,
                    timeout=urllib3.Timeout(
                        connect=CONNECT_SECONDS, read=request.seconds
                    ),
                )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            refused = is_refused(error)
            if refused:
                self.view.on_refused(box.identity)
            raise RerouteError(str(error), was_sent=not refused) from error
        if REROUTE_HEADER in response.headers:
            response.drain_conn()
            response.release_conn()
            raise RerouteError("the box does not own the program", was_sent=False)
        return response

    def fetch(self, request: ForwardedRequest) -> Response:
        """Send a request to another box and return the complete response."""
        answer = self.open(request)
        return make_response(answer, self.read_body(request, answer))

    def read_body(self, request: ForwardedRequest, answer: BaseHTTPResponse) -> bytes:
        """Return the body of a response that is not a stream.

        Raises
        ------
        RerouteError
            When the connection fails, or the box no longer owns the program.
        """
        try:
            with self.watch.waiting(request.partition, request.box.identity):
                data = answer.read()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            answer.close()
            raise RerouteError(str(error), was_sent=True) from error
        answer.release_conn()
        return data


def make_response(answer: BaseHTTPResponse, data: bytes | Iterator[bytes]) -> Response:
    """Return the response for the caller, with `data` as its body."""
    headers = {
        name: answer.headers[name]
        for name in FORWARDED_HEADERS
        if name in answer.headers
    }
    return Response(
        data, status=answer.status, headers=headers, direct_passthrough=True
    )
