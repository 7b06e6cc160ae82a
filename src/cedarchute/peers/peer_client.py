"""A client for the messages between boxes: JSON over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar

import urllib3
from pydantic import ValidationError

from cedarchute.answer_bound import AnswerBound
from cedarchute.host_pools import HostPools
from cedarchute.message import Message

if TYPE_CHECKING:
    from cedarchute.address import Address
    from cedarchute.metrics import Metrics

MessageT = TypeVar("MessageT", bound=Message)

# Paths whose bytes count as data in the metrics; others count as control.
DATA_PATHS: Final = frozenset({"append", "read", "seal"})
MAX_CONNECTIONS_PER_HOST: Final = 16
MAX_HOSTS: Final = 16
# A reply may carry the records of a partition.
REPLY_BOUND: Final = AnswerBound(64_000_000)
JSON_HEADERS: Final = {"content-type": "application/json"}
CLOSING_HEADERS: Final = {**JSON_HEADERS, "connection": "close"}


class PeerError(Exception):
    """A request to another box failed.

    Attributes
    ----------
    refused : bool
        Whether the connection was refused, so that the process is not running. A
        paused process or a network partition leads to a timeout instead.
    """

    code = "peer_unreachable"

    def __init__(self, message: str, *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


def is_refused(error: BaseException) -> bool:
    """Return whether `error` was caused by a refused connection."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        reason = getattr(cause, "reason", None)
        if isinstance(reason, BaseException):
            cause = reason
        else:
            cause = cause.__cause__ or cause.__context__
    return "Connection refused" in str(error)


class PeerClient:
    """Posts messages to other boxes and returns their replies."""

    def __init__(self, metrics: Metrics, timeout: float = 2.0) -> None:
        self.metrics = metrics
        self.timeout = timeout
        self.pools = HostPools(MAX_CONNECTIONS_PER_HOST, MAX_HOSTS, REPLY_BOUND)

    def send(
        self,
        address: Address,
        path: str,
        message: Message,
        reply_type: type[MessageT],
        timeout: float | None = None,
        *,
        is_kept: bool = True,
    ) -> MessageT:
        """Post `message` to the box at `address` and return its parsed reply.

        Parameters
        ----------
        reply_type : type of Message
            The model that the reply is validated against.
        timeout : float, optional
            Seconds; the client's timeout if None.
        is_kept : bool
            Whether the connection is kept alive for the next message. It uses memory
            on both sides, so messages to rarely contacted boxes close it.

        Raises
        ------
        PeerError
            When the box does not respond, or not as expected.
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
            return reply_type.model_validate_json(response.data)
        except ValidationError as error:
            raise PeerError(f"{address} {path}: {error}") from error
