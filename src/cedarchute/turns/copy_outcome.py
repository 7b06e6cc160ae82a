"""Results of reading the records of a seat from another disk."""

from __future__ import annotations

from enum import StrEnum


class CopyOutcome(StrEnum):
    """Result of reading one disk.

    Attributes
    ----------
    WHOLE
        The disk has everything that it acknowledged, and handed it out.
    PARTIAL
        The disk handed out what it has, and may lack records.
    EMPTY
        The holder is catching up itself and hands out nothing.
    LOST
        The disk is gone: its box has another one.
    SILENT
        The box gave no answer, or not one about this disk. The disk may have records
        that nobody else has, so it has to be asked again.
    """

    WHOLE = "whole"
    PARTIAL = "partial"
    EMPTY = "empty"
    LOST = "lost"
    SILENT = "silent"
