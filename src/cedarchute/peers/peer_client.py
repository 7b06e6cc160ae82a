"""Calls between boxes: HTTP with JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar

import urllib3
from pydantic import ValidationError

from cedarchute.host_pools import HostPools
from cedarchute.message import Message

if TYPE_CHECKING:
    from cedarchute.address import Address
    from cedarchute.metrics import Metrics

MessageT = TypeVar("MessageT", bound=Message)

DATA_PATHS: Final = frozenset({"append", "read", "seal"})
CONNECTIONS: Final = 16
HOSTS: Final = 16
JSON_HEADERS: Final = {"content-type": "application/json"}
CLOSING_HEADERS: Final = {**JSON_HEADERS, "connection": "close"}


class PeerError(Exception):
    """A box that gave no usable answer.

    `refused` is true when nothing listens on its port: the process is gone. A
    paused process, or a cut link, times out instead.
    """

    code = "peer_unreachable"

    def __init__(self, message: str, *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


def is_refused(error: BaseException) -> bool:
    """Return whether `error` says that nothing listened on the port."""
    seen: BaseException | None = error
    while seen is not None:
        if isinstance(seen, ConnectionRefusedError):
            return True
        seen = getattr(seen, "reason", None) or seen.__cause__ or seen.__context__
    return "Connection refused" in str(error)


class PeerClient:
    """Sends one message and reads one message."""

    def __init__(self, metrics: Metrics, timeout: float = 2.0) -> None:
        self.metrics = metrics
        self.timeout = timeout
        self.pools = HostPools(CONNECTIONS, HOSTS)

    def send(
        self,
        address: Address,
        path: str,
        message: Message,
        reply: type[MessageT],
        timeout: float | None = None,
        *,
        is_kept: bool = True,
    ) -> MessageT:
        """Post `message` to the box at `address` and return its reply.

        Parameters
        ----------
        is_kept : bool
            Keep the connection for the next message. It costs both sides memory,
            which does not pay for a box that is seldom asked.

        Raises
        ------
        PeerError
            When the box did not answer, or not as expected.
        """
        body = message.to_json().encode()
        try:
            response = self.pools.request(
                "POST",
                address,
                f"/peer/{path}",
                body=body,
                headers=JSON_HEADERS if is_kept else CLOSING_HEADERS,
                timeout=timeout or self.timeout,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.metrics.count("peers.failures")
            raise PeerError(
                f"{address} {path}: {error}", refused=is_refused(error)
            ) from error
        kind = "data" if path in DATA_PATHS else "control"
        self.metrics.count_exchange(kind, len(body), len(response.data))
        if response.status != 200:
            raise PeerError(f"{address} {path}: status {response.status}")
        try:
            return reply.model_validate_json(response.data)
        except ValidationError as error:
            raise PeerError(f"{address} {path}: {error}") from error
