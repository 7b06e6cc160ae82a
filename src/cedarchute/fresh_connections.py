"""Sends each request on a connection of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.bounded_connection import BoundedPool
from cedarchute.host_pools import DEFAULT_BOUND

if TYPE_CHECKING:
    import urllib3
    from urllib3.response import BaseHTTPResponse

    from cedarchute.address import Address
    from cedarchute.answer_bound import AnswerBound


class FreshConnections:
    """Requests to servers whose answers carry no id.

    Such a server may answer a request more than once. On a connection that carries one
    request, nothing else can be taken for its answer.

    Parameters
    ----------
    bound : AnswerBound
        What may be read of an answer.
    """

    def __init__(self, bound: AnswerBound = DEFAULT_BOUND) -> None:
        self.bound = bound

    def request(
        self,
        method: str,
        address: Address,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float | urllib3.Timeout,
        preload_content: bool = True,
    ) -> BaseHTTPResponse:
        """Send one request, with no retry of urllib3's own."""
        pool = BoundedPool(
            address.host, address.port, maxsize=1, retries=False, bound=self.bound
        )
        try:
            return pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                retries=False,
                timeout=timeout,
                preload_content=preload_content,
            )
        finally:
            # The connection of a response that is still to be read is closed once it is
            # given back to the closed pool.
            pool.close()
