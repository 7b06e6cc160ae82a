"""HTTP client for requests to a single holder."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec

from cedarchute.address import Address
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_transport import NoAnswerError
from cedarchute.turns.messages import Refused

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.turns.holder_transport import HolderTransport

AnswerT = TypeVar("AnswerT")

# Well above the usual latency of a holder; only unreachable ones exceed it.
DEFAULT_TIMEOUT: Final = AnswerTimeout(connect_seconds=0.5, read_seconds=2.0)
OK: Final = 200


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

    def __init__(self, transport: HolderTransport, metrics: Metrics) -> None:
        self.transport = transport
        self.metrics = metrics

    def ask(
        self,
        address: str,
        path: str,
        message: object,
        answer: type[AnswerT],
        timeout: AnswerTimeout = DEFAULT_TIMEOUT,
    ) -> AnswerT:
        """POST `message` to `path` of a holder; return the decoded answer.

        Parameters
        ----------
        timeout : AnswerTimeout
            The default allows for a synced write.

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
            answered = self.transport.post(
                Address.parse(address), path, msgspec.json.encode(message), timeout
            )
            if answered.status == OK:
                return msgspec.json.decode(answered.body, type=answer)
            refusal = msgspec.json.decode(answered.body, type=Refused)
        except (NoAnswerError, msgspec.MsgspecError) as error:
            self.metrics.count("holders.failures")
            raise HolderUnavailableError(f"{path} at {address}: {error}") from error
        finally:
            self.metrics.time("holders.seconds", time.monotonic() - started)
        self.metrics.count("holders.refusals")
        raise HolderRefusedError(refusal)
