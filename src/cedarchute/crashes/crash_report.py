"""Messages in which boxes tell each other of crashes of targets."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Final

import msgspec
from msgspec import Meta

# HTTP path of the message.
CRASHES_PATH: Final = "/fleet/crashes"


class Audience(StrEnum):
    """Whom the box that gets a message tells in turn."""

    NOBODY = "nobody"
    DOMAIN = "domain"
    FLEET = "fleet"


class CrashReport(msgspec.Struct, frozen=True):
    """The count of one request.

    Attributes
    ----------
    request : str
        Digest of the request.
    clearances, crashes : int
        See `CrashCount`.
    age_ms : int
        How long ago the count was reached, in milliseconds.
    """

    request: Annotated[str, Meta(max_length=64)]
    clearances: Annotated[int, Meta(ge=0)]
    crashes: Annotated[int, Meta(ge=0)]
    age_ms: Annotated[int, Meta(ge=0)] = 0


class CrashAnnouncement(msgspec.Struct, frozen=True):
    """What a box tells another one, or was told by it in answer."""

    reports: tuple[CrashReport, ...] = ()
    audience: Audience = Audience.NOBODY
