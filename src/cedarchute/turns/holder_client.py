"""HTTP client for requests to a single holder."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec
import urllib3

from cedarchute.address import Address
from cedarchute.host_pools import HostPools
from cedarchute.turns.messages import Refused

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics

AnswerT = TypeVar("AnswerT")

# Concurrent requests of a busy entry to one holder.
MAX_CONNECTIONS_PER_HOLDER: Final = 16
MAX_HOLDER_POOLS: Final = 16
# Well above the usual latency of a holder; only unreachable ones exceed it.
CONNECT_SECONDS: Final = 0.5
ANSWER_SECONDS: Final = 2.0
JSON_HEADERS: Final = {"Content-Type": "application/json"}


class HolderUnavailableError(Exception):
    """A holder gave no usable answer."""

    code = "holder_unavailable"


class HolderRefusedError(HolderUnavailableError):
    """A holder rejected a request."""

    code = "holder_refused"

    def __init__(self, refusal: Refused) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class HolderClient:
    """Sends typed requests to holders over pooled connections."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.pools = HostPools(MAX_CONNECTIONS_PER_HOLDER, hosts=MAX_HOLDER_POOLS)
        self.timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=ANSWER_SECONDS)

    def ask(
        self,
        address: str,
        path: str,
        message: object,
        answer: type[AnswerT],
        timeout: urllib3.Timeout | None = None,
    ) -> AnswerT:
        """POST `message` to `path` of a holder; return the decoded answer.

        Parameters
        ----------
        timeout : urllib3.Timeout or None
            Overrides the default timeout, which allows for a synced write.

        Raises
        ------
        HolderRefusedError
            If the holder rejects the request.
        HolderUnavailableError
            If the holder cannot be reached or its answer cannot be decoded.
        """
        self.metrics.count("holders.calls")
        started = time.monotonic()
        try:
            response = self.pools.request(
                "POST",
                Address.parse(address),
                path,
                body=msgspec.json.encode(message),
                headers=JSON_HEADERS,
                timeout=timeout or self.timeout,
            )
            if response.status == 200:
                return msgspec.json.decode(response.data, type=answer)
            refusal = msgspec.json.decode(response.data, type=Refused)
        except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError) as error:
            self.metrics.count("holders.failures")
            raise HolderUnavailableError(f"{path} at {address}: {error}") from error
        finally:
            self.metrics.time("holders.seconds", time.monotonic() - started)
        self.metrics.count("holders.refusals")
        raise HolderRefusedError(refusal)
