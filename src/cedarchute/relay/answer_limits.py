"""Limits on what targets send."""

from __future__ import annotations

from cedarchute.record import Record


class AnswerLimits(Record):
    """Limits on one answer; the defaults apply without settings.

    Attributes
    ----------
    head_bytes : int
        The head: status line, headers and all interim answers before it; then what
        frames a body without being a part of it, as trailers do.
    event_bytes : int
        One event of a stream.
    held_bytes : int
        A body that is held as a whole, so that another target can be tried; a longer
        one is passed on as it comes. Also what is read to be dropped.
    body_bytes : int
        A whole body; streams of events have no such limit.
    total_bytes : int
        All that a box holds of answers at once: bodies, events that are not complete,
        and turns until they are stored.
    """

    head_bytes: int = 65_536
    event_bytes: int = 1_048_576
    held_bytes: int = 1_048_576
    body_bytes: int = 67_108_864
    total_bytes: int = 33_554_432


DEFAULT_LIMITS = AnswerLimits()
