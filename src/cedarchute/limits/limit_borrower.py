"""Client side of borrowing calls from the owner of a workspace."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.limits.borrow import BorrowReply, BorrowRequest
from cedarchute.peers.peer_client import PeerError

if TYPE_CHECKING:
    from cedarchute.limits.limit_lender import LimitLender
    from cedarchute.membership.view import View
    from cedarchute.peers.peer_client import PeerClient

TIMEOUT_SECONDS: Final = 1.0


class LimitBorrower:
    """Borrows from the box that owns a workspace by the ring, or from this one."""

    def __init__(
        self, box: str, view: View, lender: LimitLender, client: PeerClient
    ) -> None:
        self.box = box
        self.view = view
        self.lender = lender
        self.client = client

    def borrow(self, request: BorrowRequest) -> BorrowReply:
        """Borrow calls from the owner of a workspace.

        Raises
        ------
        PeerError
            When the owner does not answer or its address is unknown.
        """
        owner = self.view.ring.find_owner(request.workspace)
        if owner is None or owner == self.box:
            return self.lender.handle_borrow(request)
        record = self.view.boxes.get(owner)
        if record is None:
            raise PeerError(f"no record of {owner}")
        return self.client.send(
            record.peer_address,
            "borrow",
            request,
            BorrowReply,
            TIMEOUT_SECONDS,
            is_kept=False,
        )
