"""Messages in which boxes exchange their store state."""

from __future__ import annotations

from typing import Final

import msgspec

from cedarchute.fleet.box_news import BoxNews, DomainNews

# HTTP path of the state request.
STATE_PATH: Final = "/fleet/state"


class MirroredEntry(msgspec.Struct, frozen=True):
    """A store entry with the revision of its last change."""

    key: str
    value: str
    revision: int


class Removal(msgspec.Struct, frozen=True):
    """A removed key with the revision of the removal."""

    key: str
    revision: int


class AskState(msgspec.Struct, frozen=True):
    """Request for the changes after a revision, or for the full state if None.

    Attributes
    ----------
    wait_seconds : float
        How long to wait for a change, or for the store to fail or recover.
    takes_keys : bool
        Whether the client understands `State.keys`; clients of an earlier release
        do not, and get the full state instead.
    """

    after: int | None = None
    wait_seconds: float = 0.0
    takes_keys: bool = False


class AskStateAndNews(AskState, frozen=True):
    """Request that tells news of the client and asks for those of its domain.

    Attributes
    ----------
    news : BoxNews or None
        None from boxes that exchange none.
    """

    news: BoxNews | None = None


class State(msgspec.Struct, frozen=True):
    """State of the store as known to a box.

    Attributes
    ----------
    revision : int
        Revision up to which changes are known; 0 when none are.
    is_whole : bool
        Whether `entries` holds the full state, not only changes.
    steady_seconds : float
        How long the store has been available to that box; 0 while it is not.
    keys : tuple of str or None
        All existing keys, when the removals since the requested revision are no longer
        kept; None otherwise. Smaller than the full state, which matters when all boxes
        start and poll readers that are slightly ahead.
    proof_age_seconds : float or None
        Age of the freshness proof of the configuration when the request arrived;
        negative for a newer proof, None without one.
    proof_revision : int
        Revision of that configuration.
    complete_age_seconds : float or None
        How long before the arrival of the request all entries up to `revision` were
        known to be all that the store held; None if unknown, unset by boxes of an
        earlier release.
    """

    revision: int
    is_whole: bool
    entries: tuple[MirroredEntry, ...] = ()
    removals: tuple[Removal, ...] = ()
    steady_seconds: float = 0.0
    keys: tuple[str, ...] | None = None
    proof_age_seconds: float | None = None
    proof_revision: int = 0
    complete_age_seconds: float | None | msgspec.UnsetType = msgspec.UNSET


class StateAndNews(State, frozen=True):
    """State of the store with the news of a failure domain.

    Attributes
    ----------
    news : DomainNews or None
        None from boxes that exchange none.
    """

    news: DomainNews | None = None
