"""Connections kept open, one pool for each address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import urllib3

if TYPE_CHECKING:
    from urllib3.response import BaseHTTPResponse

    from cedarchute.address import Address


class HostPools:
    """Sends requests without urllib3's general look-up of a pool.

    The look-up parses the URL and normalises a key on each request; on the path of
    every call that is a seventh of the cost of a small exchange.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.pools: dict[Address, urllib3.HTTPConnectionPool] = {}

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
        pool = self.pools.get(address)
        if pool is None:
            pool = urllib3.HTTPConnectionPool(
                address.host, address.port, maxsize=self.size, retries=False
            )
            self.pools[address] = pool
        return pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            retries=False,
            timeout=timeout,
            preload_content=preload_content,
        )
