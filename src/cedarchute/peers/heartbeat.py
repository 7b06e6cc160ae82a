"""The heartbeat between boxes."""

from __future__ import annotations

from cedarchute.membership.box_record import BoxRecord  # noqa: TC001
from cedarchute.message import Message
from cedarchute.operators.accepted_file import AcceptedFile


class Heartbeat(Message):
    """A box tells that it lives and which revision is in force on it."""

    box: BoxRecord
    revision: int
    digest: str


class HeartbeatReply(Message):
    """The other box's side; `newer` holds the file when the sender is behind."""

    box: BoxRecord
    revision: int
    newer: AcceptedFile | None = None


class ConfigurationRequest(Message):
    """Asks a box for the file in force on it."""

    above: int


class ConfigurationReply(Message):
    """The file in force, if it is of a higher revision than asked."""

    accepted: AcceptedFile | None


class Suspicion(Message):
    """Tells a holder that nothing listens at a box any more."""

    identity: str


class Acknowledged(Message):
    """An answer with nothing to say."""
