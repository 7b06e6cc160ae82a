"""Reaches holders through other boxes while the direct way is cut."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import msgspec

from cedarchute.fleet.relay_messages import RELAY_PATH, RelayAnswer, RelayRequest
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_transport import HolderAnswer, NoAnswerError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cedarchute.address import Address
    from cedarchute.metrics import Metrics
    from cedarchute.turns.holder_transport import HolderTransport

log = logging.getLogger("cedarchute.fleet")

# A request that is not answered counts as cut off if no holder has answered for this
# long either: a single holder that is gone leaves others that answer.
RECENT_SECONDS: Final = 0.5
PEER_CONNECT_SECONDS: Final = 0.15
# How long requests go through another box before the direct way is tried again.
CUT_SECONDS: Final = 1.0
# Boxes asked for one request: where a third of them is cut off too, three of them miss
# in one of thirty.
MAX_PEERS: Final = 3
OK: Final = 200


class RelayedTransport:
    """Sends requests directly, and through other boxes while no holder answers.

    The holders, which are few, may be out of reach of a box that still reaches its
    callers, its targets and other boxes. Requests to holders may be sent twice: each
    names its turn or record, and a call counted twice only lowers what is granted.

    Attributes
    ----------
    answered_at : float
        When a holder answered directly last; monotonic seconds.
    cut_until : float
        Until when requests go through other boxes.
    peer : Address or None
        The box that sent on the last request with an answer.
    """

    def __init__(
        self,
        direct: HolderTransport,
        list_peers: Callable[[], list[Address]],
        is_enabled: Callable[[], bool],
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        self.direct = direct
        self.list_peers = list_peers
        self.is_enabled = is_enabled
        self.random_source = random_source
        self.metrics = metrics
        self.answered_at = float("-inf")
        self.cut_until = float("-inf")
        self.peer: Address | None = None

    def post(
        self, address: Address, path: str, body: bytes, timeout: AnswerTimeout
    ) -> HolderAnswer:
        """Send one request: see `HolderTransport`."""
        if not self.is_enabled():
            return self.direct.post(address, path, body, timeout)
        if time.monotonic() < self.cut_until:
            return self.post_through_peers(address, path, body, timeout)
        try:
            answer = self.direct.post(address, path, body, timeout, self.is_cut)
        except NoAnswerError:
            if not self.is_cut():
                raise
        else:
            self.answered_at = time.monotonic()
            return answer
        answer = self.post_through_peers(address, path, body, timeout)
        self.note_cut(address)
        return answer

    def is_cut(self) -> bool:
        """Whether no holder has answered directly for a while."""
        return time.monotonic() - self.answered_at > RECENT_SECONDS

    def note_cut(self, address: Address) -> None:
        """Send requests through other boxes for a while, as one has just got there."""
        now = time.monotonic()
        if now >= self.cut_until:
            self.metrics.count("relay.cuts")
            log.warning(
                "Holders are reached through another box.",
                extra={"holder": str(address), "box": str(self.peer)},
            )
        self.cut_until = now + CUT_SECONDS

    def post_through_peers(
        self, address: Address, path: str, body: bytes, timeout: AnswerTimeout
    ) -> HolderAnswer:
        """Send a request through other boxes, one after another."""
        request = msgspec.json.encode(
            RelayRequest(
                str(address), path, body, timeout.connect_seconds, timeout.read_seconds
            )
        )
        limits = AnswerTimeout(
            PEER_CONNECT_SECONDS, timeout.connect_seconds + timeout.read_seconds
        )
        for peer in self.choose_peers():
            self.metrics.count("relay.asked")
            answer = self.ask_peer(peer, request, limits)
            if answer is not None:
                self.peer = peer
                return answer
        self.peer = None
        self.metrics.count("relay.failures")
        raise NoAnswerError(f"{address}: no box has a way to it")

    def choose_peers(self) -> list[Address]:
        """Return the boxes to ask, the one that answered last first."""
        others = [peer for peer in self.list_peers() if peer != self.peer]
        count = min(len(others), MAX_PEERS)
        chosen = self.random_source.sample(others, count)
        return chosen if self.peer is None else [self.peer, *chosen][:MAX_PEERS]

    def ask_peer(
        self, peer: Address, request: bytes, limits: AnswerTimeout
    ) -> HolderAnswer | None:
        """Return what the holder answered through a box; None if nothing came."""
        try:
            answer = self.direct.post(peer, RELAY_PATH, request, limits)
            if answer.status != OK:
                return None
            told = msgspec.json.decode(answer.body, type=RelayAnswer)
        except (NoAnswerError, msgspec.MsgspecError) as error:
            log.info(
                "Box sent a request on without an answer.",
                extra={"box": str(peer), "why": str(error)},
            )
            return None
        return HolderAnswer(told.status, told.body) if told.status else None
