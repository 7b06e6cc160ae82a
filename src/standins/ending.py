"""The ways in which a target may end."""

from __future__ import annotations

from enum import StrEnum


class Ending(StrEnum):
    """What connections see of the end of a target.

    Attributes
    ----------
    LISTENER_FIRST : str
        The listener closes, then connections are reset.
    ORDERLY : str
        The listener closes, then connections are closed without a reset.
    CONNECTIONS_FIRST : str
        Connections are reset; the listener closes a moment later.
    REBORN : str
        Connections are reset; another process serves at the same address at once.
    DARK : str
        Nothing is closed and nothing is answered any more.
    FRONTED : str
        Connections are reset; something before the target resets each new one.
    """

    LISTENER_FIRST = "listener_first"
    ORDERLY = "orderly"
    CONNECTIONS_FIRST = "connections_first"
    REBORN = "reborn"
    DARK = "dark"
    FRONTED = "fronted"
