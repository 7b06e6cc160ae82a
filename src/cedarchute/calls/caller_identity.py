"""Whose a call is, where workspaces hold keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.routing.workspace import Workspace


class CallerIdentity(Record):
    """The workspace that a caller's key belongs to.

    Attributes
    ----------
    workspace : Workspace or None
        None on a public route, for a call whose key is not known.
    digest : bytes
        What the key is looked up by; the key itself is not kept.
    """

    workspace: Workspace | None = None
    digest: bytes = b""
