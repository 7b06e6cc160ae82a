"""Requests among holders, which are few, by the general HTTP client."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import urllib3

from cedarchute.host_pools import HostPools
from cedarchute.turns.holder_transport import (
    RECORDS_BOUND,
    HolderAnswer,
    NoAnswerError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.address import Address
    from cedarchute.turns.answer_timeout import AnswerTimeout

MAX_CONNECTIONS_PER_HOLDER: Final = 16
MAX_HOLDERS: Final = 16
JSON_HEADERS: Final = {"Content-Type": "application/json"}


class PooledTransport:
    """Uses what holders hold in memory for the store anyway."""

    def __init__(self) -> None:
        self.pools = HostPools(MAX_CONNECTIONS_PER_HOLDER, MAX_HOLDERS, RECORDS_BOUND)

    def post(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout: AnswerTimeout,
        must_give_up: Callable[[], bool] | None = None,
    ) -> HolderAnswer:
        """Send one request: see `HolderTransport`; it is never given up early."""
        limits = urllib3.Timeout(
            connect=timeout.connect_seconds, read=timeout.read_seconds
        )
        try:
            response = self.pools.request(
                "POST", address, path, body=body, headers=JSON_HEADERS, timeout=limits
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise NoAnswerError(str(error)) from error
        return HolderAnswer(response.status, response.data)
