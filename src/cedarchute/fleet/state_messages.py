"""How boxes tell each other what they know of the store."""

from __future__ import annotations

from typing import Final

import msgspec

# Where boxes ask each other what they know of the store.
STATE_PATH: Final = "/fleet/state"


class MirroredEntry(msgspec.Struct, frozen=True):
    """An entry of the store at the revision of its last change."""

    key: str
    value: str
    revision: int


class Removal(msgspec.Struct, frozen=True):
    """A key that went away."""

    key: str
    revision: int


class AskState(msgspec.Struct, frozen=True):
    """Tell what changed after a revision; None asks for all.

    Attributes
    ----------
    wait_seconds : float
        How long to wait for a change, or for the store to be lost or back.
    takes_keys : bool
        Whether the asker understands `State.keys`; an earlier release does not, and
        is told everything instead.
    """

    after: int | None = None
    wait_seconds: float = 0.0
    takes_keys: bool = False


class State(msgspec.Struct, frozen=True):
    """What a box knows of the store.

    Attributes
    ----------
    revision : int
        Up to which changes are known; 0 when none are.
    is_whole : bool
        Whether `entries` is everything, not only what changed.
    steady_seconds : float
        For how long the store has answered that box, 0 when it does not.
    keys : tuple of str or None
        Every key that is there, when the removals since the asker's revision are not
        known one by one; None when they are. It is a tenth of the whole: after a
        start every box asks two readers with a revision just before theirs.
    proof_age_seconds : float or None
        How long before the question arrived the configuration that this box has was
        certainly the newest, negative for a proof since then; None without one.
    proof_revision : int
        The revision of that configuration.
    """

    revision: int
    is_whole: bool
    entries: tuple[MirroredEntry, ...] = ()
    removals: tuple[Removal, ...] = ()
    steady_seconds: float = 0.0
    keys: tuple[str, ...] | None = None
    proof_age_seconds: float | None = None
    proof_revision: int = 0
