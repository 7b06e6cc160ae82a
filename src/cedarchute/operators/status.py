"""What operators see of the boxes and of the spread of a file."""

from __future__ import annotations

from cedarchute.message import Message


class BoxStatusRequest(Message):
    """Asks a box how it is."""


class BoxStatus(Message):
    """How one box is."""

    name: str
    identity: str
    failure_domain: str
    caller_address: str
    state: str
    revision: int
    programs: int = 0
    calls_in_progress: int = 0
    partitions: int = 0
    copies: int = 0
    counters: dict[str, int] = {}


class TargetStatus(Message):
    """How one target looks from one box."""

    name: str
    service: str
    address: str
    failure_domain: str
    state: str
    in_flight: int
    running: int | None = None
    waiting: int | None = None
    failing: bool = False
    version: str = ""


class SiteStatus(Message):
    """Which revision is accepted and on which boxes it is in force."""

    accepted: int
    operator: str
    digest: str
    in_force: bool
    boxes: tuple[BoxStatus, ...]
    silent: tuple[str, ...] = ()


class OperatorsFile(Message):
    """The accepted file as operators wrote it."""

    revision: int
    operator: str
    text: str
