"""Messages by which a box reaches a holder through another box."""

from __future__ import annotations

from typing import Final

import msgspec

# HTTP path of the request.
RELAY_PATH: Final = "/fleet/relay"


class RelayRequest(msgspec.Struct, frozen=True):
    """Request to send a request on to a holder.

    Attributes
    ----------
    address, path : str
        Where the holder listens, and what is asked of it.
    body : bytes
        Body of the request to the holder.
    connect_seconds, read_seconds : float
        Time limits of the request to the holder.
    """

    address: str
    path: str
    body: bytes
    connect_seconds: float
    read_seconds: float


class RelayAnswer(msgspec.Struct, frozen=True):
    """What the holder answered.

    Attributes
    ----------
    status : int
        0 if it gave no answer.
    """

    status: int
    body: bytes = b""
