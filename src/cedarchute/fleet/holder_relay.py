"""Sends requests of boxes that are cut off on to holders."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from cedarchute.address import Address
from cedarchute.fleet.relay_messages import RelayAnswer, RelayRequest
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_transport import NoAnswerError

if TYPE_CHECKING:
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.metrics import Metrics
    from cedarchute.turns.holder_transport import HolderTransport

log = logging.getLogger("cedarchute.fleet")

# Longest wait that a box may ask of another one; holders answer within milliseconds.
MAX_SECONDS: Final = 2.0


class HolderRelay:
    """Sends on what other boxes ask, over this box's own connections.

    It never goes through a third box, so requests can't circle.
    """

    def __init__(
        self, transport: HolderTransport, directory: BoxDirectory, metrics: Metrics
    ) -> None:
        self.transport = transport
        self.directory = directory
        self.metrics = metrics

    def send_on(self, request: RelayRequest) -> RelayAnswer:
        """Return the answer of the holder; status 0 if there is none.

        Raises
        ------
        ValueError
            When the address is that of no known box, or a time limit is no number.
        """
        address = Address.parse(request.address)
        if not self.directory.is_box(address):
            raise ValueError(f"{address} is no box")
        if not (request.connect_seconds > 0 and request.read_seconds > 0):
            raise ValueError("a time limit must be more than nothing")
        timeout = AnswerTimeout(
            min(request.connect_seconds, MAX_SECONDS),
            min(request.read_seconds, MAX_SECONDS),
        )
        self.metrics.count("relay.sent_on")
        try:
            answer = self.transport.post(address, request.path, request.body, timeout)
        except NoAnswerError as error:
            log.info(
                "Relayed request got no answer.",
                extra={"address": request.address, "why": str(error)},
            )
            return RelayAnswer(0)
        return RelayAnswer(answer.status, answer.body)
