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


class RunReport(msgspec.Struct, frozen=True):
    """A run of a request at a target; see `TargetRun`."""

    target: Annotated[str, Meta(max_length=256)]
    generation: Annotated[int, Meta(ge=0)]
    state: Annotated[int, Meta(ge=0, le=3)]


class CrashReport(msgspec.Struct, frozen=True):
    """The count of one request.

    Attributes
    ----------
    request : str
        Digest of the request.
    clearances, crashes : int
        See `CrashCount`.
    age_ms : int
        How long ago the last change was seen, in milliseconds.
    runs : tuple of RunReport
        Its runs since the last answer.
    """

    request: Annotated[str, Meta(max_length=64)]
    clearances: Annotated[int, Meta(ge=0)]
    crashes: Annotated[int, Meta(ge=0)]
    age_ms: Annotated[int, Meta(ge=0)] = 0
    runs: tuple[RunReport, ...] = ()


class CrashAnnouncement(msgspec.Struct, frozen=True):
    """What a box tells another one, or was told by it in answer."""

    reports: tuple[CrashReport, ...] = ()
    audience: Audience = Audience.NOBODY
