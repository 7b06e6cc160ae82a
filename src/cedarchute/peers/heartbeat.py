"""Messages between boxes on liveness and configuration."""

from __future__ import annotations

from cedarchute.membership.box_record import BoxRecord  # noqa: TC001
from cedarchute.message import Message
from cedarchute.operators.accepted_file import AcceptedFile


class Heartbeat(Message):
    """Reports that a box is alive and which configuration revision it uses."""

    box: BoxRecord
    revision: int
    digest: str


class HeartbeatReply(Message):
    """The peer's record; `newer` is its configuration if the sender's is older."""

    box: BoxRecord
    revision: int
    newer: AcceptedFile | None = None


class ConfigurationRequest(Message):
    """Asks a box for its configuration if its revision is higher than `above`."""

    above: int


class ConfigurationReply(Message):
    """The configuration in use, or None if its revision is not higher."""

    accepted: AcceptedFile | None


class Suspicion(Message):
    """Reports to a holder that a box refuses connections."""

    identity: str


class Acknowledged(Message):
    """An empty acknowledgement."""
