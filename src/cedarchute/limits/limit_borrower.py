"""Finds the keeper of a workspace and borrows from it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.limits.borrow import BorrowReply, BorrowRequest
from cedarchute.peers.peer_client import PeerError

if TYPE_CHECKING:
    from cedarchute.limits.limit_lender import LimitLender
    from cedarchute.membership.view import View
    from cedarchute.peers.peer_client import PeerClient

SECONDS_ALLOWED: Final = 1.0


class LimitBorrower:
    """Asks the box that the ring names, which may be this one."""

    def __init__(
        self, box: str, view: View, lender: LimitLender, client: PeerClient
    ) -> None:
        self.box = box
        self.view = view
        self.lender = lender
        self.client = client

    def borrow(self, request: BorrowRequest) -> BorrowReply:
        """Return what the keeper of a workspace lends.

        Raises
        ------
        PeerError
            When it does not answer.
        """
        keeper = self.view.ring.find_owner(request.workspace)
        if keeper is None or keeper == self.box:
            return self.lender.handle_borrow(request)
        record = self.view.boxes.get(keeper)
        if record is None:
            raise PeerError(f"no record of {keeper}")
        return self.client.send(
            record.peer_address,
            "borrow",
            request,
            BorrowReply,
            SECONDS_ALLOWED,
            is_kept=False,
        )
