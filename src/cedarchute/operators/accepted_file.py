"""An operators' file that the platform's store has accepted."""

from __future__ import annotations

import hashlib
from functools import cached_property

from cedarchute.message import Message
from cedarchute.operators.parser import parse_site_file
from cedarchute.operators.site_file import SiteFile  # noqa: TC001


class AppliedOperation(Message):
    """One apply that took effect, so that a lost reply can be settled."""

    operation: str
    revision: int
    operator: str


class AcceptedFile(Message):
    """A revision of the operators' file, as it stands in the store.

    `recent` lists the last operations, newest first: an operator whose reply
    was lost finds out whether the apply took effect.
    """

    revision: int
    operation: str
    operator: str
    applied_at: float
    text: str
    recent: tuple[AppliedOperation, ...] = ()

    @cached_property
    def site(self) -> SiteFile:
        """The parsed file."""
        return parse_site_file(self.text, f"revision {self.revision}")

    @property
    def digest(self) -> str:
        """A short digest of the text."""
        return hashlib.sha256(self.text.encode()).hexdigest()[:12]

    def find_operation(self, operation: str) -> AppliedOperation | None:
        """Return what is known of an earlier apply."""
        for applied in self.recent:
            if applied.operation == operation:
                return applied
        return None
