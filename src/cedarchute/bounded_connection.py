"""Connections whose answers are bounded in bytes and in time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import urllib3

from cedarchute.bounded_response import BoundedResponse

if TYPE_CHECKING:
    import socket

    from cedarchute.answer_bound import AnswerBound


class BoundedConnection(urllib3.connection.HTTPConnection):
    """A connection whose answers are bounded, and malformed ones refused.

    Parameters
    ----------
    bound : AnswerBound
        What may be read of an answer.

    Attributes
    ----------
    response : BoundedResponse or None
        The newest one.
    """

    def __init__(self, *args: Any, bound: AnswerBound, **options: Any) -> None:
        super().__init__(*args, **options)
        self.bound = bound
        self.response: BoundedResponse | None = None
        self.response_class = self.make_response

    def make_response(self, sock: socket.socket, **options: Any) -> BoundedResponse:
        """Return the response to a request that was sent."""
        self.response = BoundedResponse(self.bound, sock, **options)
        return self.response

    @property
    def is_connected(self) -> bool:
        """Whether the connection may carry another request."""
        if self.response is not None and self.response.has_surplus:
            return False
        return super().is_connected

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        super().close()
        self.response = None


class BoundedPool(urllib3.HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = BoundedConnection
