"""The authenticated identity of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.routing.workspace import Workspace


class CallerIdentity(Record):
    """The workspace that a caller's API key belongs to.

    Attributes
    ----------
    workspace : Workspace or None
        None for a call with an unknown key on a public route.
    digest : bytes
        Hash of the key, used for lookups; the key itself is not stored.
    """

    workspace: Workspace | None = None
    digest: bytes = b""
