"""Passes requests on to the box that is a program's home."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import urllib3
from werkzeug.wrappers import Response

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
CONNECTIONS: Final = 128
HOSTS: Final = 128
CONNECT_SECONDS: Final = 1.0
PASSED_HEADERS: Final = (
    "Content-Type",
    "Retry-After",
    "Cedarchute-Verdict",
    "Last-Event-Id",
)


class Forwarder:
    """Sends a request one hop further and returns the response as it comes."""

    def __init__(self, view: View, watch: OwnerWatch, metrics: Metrics) -> None:
        self.view = view
        self.watch = watch
        self.metrics = metrics
        self.pools = HostPools(CONNECTIONS, HOSTS)

    def open(self, request: ForwardedRequest) -> BaseHTTPResponse:
        """Send a request to another box; the response is not read yet.

        Raises
        ------
        RerouteError
            When the box does not answer, or is not the home.
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
            raise RerouteError("not the home", was_sent=False)
        return response

    def fetch(self, request: ForwardedRequest) -> Response:
        """Send a request to another box and return its whole response."""
        answer = self.open(request)
        return make_response(answer, self.read_whole(request, answer))

    def read_whole(self, request: ForwardedRequest, answer: BaseHTTPResponse) -> bytes:
        """Return the body of a response that is no stream.

        Raises
        ------
        RerouteError
            When it breaks off, or the box is not the home any more.
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
    """Return another box's response as one of this box."""
    headers = {
        name: answer.headers[name] for name in PASSED_HEADERS if name in answer.headers
    }
    return Response(
        data, status=answer.status, headers=headers, direct_passthrough=True
    )
