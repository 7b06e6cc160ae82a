"""Virtual time, and disks that need no sync, for holders in one thread."""

from __future__ import annotations

import contextlib
import itertools
import os
import sys
import time
from unittest import mock

from eventlet import GreenPool

from cedarchute.turns import (
    chain_reader,
    disk_identity,
    holder_fanout,
    seat_version_file,
    turn_journal,
    turn_quorum,
)

LONG_SECONDS = 1000.0
PREFIXES = ("cedarchute.turns.", "cedarchute.fleet.lapsing_entries")


class VirtualClock:
    """Time that passes only when a test says so."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now


class UnsyncedOs:
    """The module `os`, without waiting for the disk."""

    def __getattr__(self, name):
        return getattr(os, name)

    def fsync(self, file):
        del file

    def fdatasync(self, file):
        del file


@contextlib.contextmanager
def virtual_time(clock, replace_file):
    """Give all parts of holders this clock, one round per request, and no syncs."""
    numbers = itertools.count(1)

    def token_hex(size):
        return f"{next(numbers):0{2 * size}x}"

    with contextlib.ExitStack() as stack:

        def patch(module, name, value):
            stack.enter_context(mock.patch.object(module, name, value))

        for name, module in sorted(sys.modules.items()):
            if name.startswith(PREFIXES) and getattr(module, "time", None) is time:
                patch(module, "time", clock)
        for module in (turn_quorum, chain_reader):
            patch(module, "ANSWER_SECONDS", LONG_SECONDS)
        patch(turn_quorum, "FINISH_SECONDS", LONG_SECONDS)
        # A round that found too few holders is the last one.
        patch(holder_fanout, "RETRY_DELAY_SECONDS", 2 * LONG_SECONDS)
        patch(holder_fanout, "HEDGE_SECONDS", LONG_SECONDS)
        patch(holder_fanout, "PREFERRED_WAIT_SECONDS", 0.0)
        patch(disk_identity, "secrets", mock.Mock(token_hex=token_hex))
        for module in (disk_identity, seat_version_file):
            patch(module, "replace_file", replace_file)
        # A process that stops in a task of its own would not end the step.
        patch(GreenPool, "imap", lambda pool, function, items: map(function, items))
        patch(turn_journal, "os", UnsyncedOs())
        patch(turn_journal, "sync_folder", lambda path: None)
        yield
