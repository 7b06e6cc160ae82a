"""Says something to one holder and reads its answer."""

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

# Connections kept open to one holder: a busy entry has about as many turns at once.
CONNECTIONS: Final = 16
HOLDERS: Final = 16
# A holder answers within milliseconds; one that is cut off says nothing at all.
CONNECT_SECONDS: Final = 0.5
ANSWER_SECONDS: Final = 2.0
JSON_HEADERS: Final = {"Content-Type": "application/json"}


class HolderUnavailableError(Exception):
    """A holder gave no answer that counts."""

    code = "holder_unavailable"


class HolderRefusedError(HolderUnavailableError):
    """A holder said that it cannot answer, and why."""

    code = "holder_refused"

    def __init__(self, refusal: Refused) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class HolderClient:
    """Typed calls to holders over kept connections."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.pools = HostPools(CONNECTIONS, hosts=HOLDERS)
        self.timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=ANSWER_SECONDS)

    def ask(
        self,
        address: str,
        path: str,
        message: object,
        answer: type[AnswerT],
        timeout: urllib3.Timeout | None = None,
    ) -> AnswerT:
        """Send `message` to `path` of a holder; return its answer.

        Parameters
        ----------
        timeout : urllib3.Timeout or None
            How long to wait, if not as long as for what has to be on a disk.

        Raises
        ------
        HolderRefusedError
            When the holder says that it cannot answer.
        HolderUnavailableError
            When no answer came.
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
