"""Connections kept open, one pool for each address."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

import urllib3

from cedarchute.answer_bound import AnswerBound
from cedarchute.bounded_connection import BoundedPool

if TYPE_CHECKING:
    from urllib3.response import BaseHTTPResponse

    from cedarchute.address import Address


log = logging.getLogger("cedarchute.connections")

DEFAULT_BOUND: Final = AnswerBound(16_777_216)


class HostPools:
    """Sends requests without urllib3's general look-up of a pool.

    The look-up parses the URL and normalises a key on each request; on the path of
    every call that is a seventh of the cost of a small exchange.

    Parameters
    ----------
    size : int
        Connections kept open to one address.
    hosts : int
        Addresses kept; those used longest ago are closed, so that heartbeats to
        boxes chosen by chance do not end in a connection to every box.
    bound : AnswerBound
        What may be read of an answer.
    """

    def __init__(
        self, size: int, hosts: int, bound: AnswerBound = DEFAULT_BOUND
    ) -> None:
        self.size = size
        self.bound = bound
        self.hosts = hosts
        self.pools: OrderedDict[Address, urllib3.HTTPConnectionPool] = OrderedDict()

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
        """Send one request, with no retry of urllib3's own.

        When no answer comes in time, the idle connections to the address are dropped:
        open connections may go silent together while new ones work, and each kept one
        would cost another request its time.
        """
        pool = self.find_pool(address)
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
        except urllib3.exceptions.ReadTimeoutError:
            self.drop(address, pool)
            raise

    def drop(self, address: Address, pool: urllib3.HTTPConnectionPool) -> None:
        """Close the idle connections of a pool and use it no more."""
        if self.pools.get(address) is pool:
            del self.pools[address]
        pool.close()
        log.info("Idle connections dropped.", extra={"address": str(address)})

    def find_pool(self, address: Address) -> urllib3.HTTPConnectionPool:
        """Return the pool of an address, made on first use."""
        pool = self.pools.get(address)
        if pool is not None:
            self.pools.move_to_end(address)
            return pool
        pool = BoundedPool(
            address.host,
            address.port,
            maxsize=self.size,
            retries=False,
            bound=self.bound,
        )
        self.pools[address] = pool
        if len(self.pools) > self.hosts:
            self.pools.popitem(last=False)[1].close()
        return pool
