"""Wires what tells boxes of crashes of targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.crashes.crash_exchange import CrashExchange
from cedarchute.crashes.crash_sender import CrashSender
from cedarchute.crashes.crash_table import CrashTable
from cedarchute.crashes.told_boxes import ToldBoxes
from cedarchute.turns.holder_connections import HolderConnections

if TYPE_CHECKING:
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.fleet.box_entry import BoxEntry
    from cedarchute.metrics import Metrics


def make_crash_exchange(
    directory: BoxDirectory, me: BoxEntry, metrics: Metrics
) -> CrashExchange:
    """Return what tells other boxes of crashes and hears of theirs."""
    table = CrashTable()
    boxes = ToldBoxes(directory, me)
    sender = CrashSender(table, boxes, HolderConnections(), metrics)
    return CrashExchange(table, boxes, sender, metrics)
