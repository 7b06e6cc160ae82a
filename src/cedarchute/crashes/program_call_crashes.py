"""Counts the crashes of targets that run the calls of a home's programs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from cedarchute.crashes.crash_table import CrashTable
from cedarchute.targets.target_error import BROKE_OFF, TargetError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.address import Address
    from cedarchute.decisions.crash_count import CrashCount
    from cedarchute.metrics import Metrics
    from cedarchute.programs.dispatched_call import DispatchedCall
    from cedarchute.relay.target_probe import TargetProbe

log = logging.getLogger("cedarchute.crashes")

BLOCKED: Final = "targets_crashed"


class ProgramCallCrashes:
    """Blocks calls that crash whatever runs them, also under another key.

    All calls of a program run at its home, so no other box is told.
    """

    def __init__(self, probe: TargetProbe, metrics: Metrics) -> None:
        self.probe = probe
        self.metrics = metrics
        self.table = CrashTable()

    def find(self, call: DispatchedCall) -> CrashCount:
        """Return the count of a call."""
        return self.table.find(make_key(call))

    def check(self, call: DispatchedCall) -> None:
        """Raise `TargetError` if a call must not be sent to another target."""
        seconds = self.table.find_block(make_key(call))
        if seconds is None:
            return
        self.metrics.count_refusal("crashes")
        detail = "targets crashed under this call"
        raise TargetError(BLOCKED, detail, Verdict.NOT_RUN, seconds)

    def record_failure(
        self,
        call: DispatchedCall,
        address: Address,
        known: CrashCount,
        error: TargetError,
    ) -> None:
        """Count a crash, if the target that broke off a call has crashed.

        Parameters
        ----------
        known : CrashCount
            The count when the call was sent.
        """
        if error.reason != BROKE_OFF or not self.probe.has_ended(address):
            return
        count = known.add_crash()
        self.table.merge(make_key(call), count)
        self.metrics.count("targets.crashed_under_call")
        log.info(
            "Target crashed under a call.",
            extra={
                "target": call.state.target,
                "request": call.state.digest,
                "program": call.program.id,
                "crashes": count.crashes,
            },
        )

    def record_answer(self, call: DispatchedCall) -> None:
        """Clear a call that a target answered."""
        count = self.find(call)
        if count.crashes:
            self.table.merge(make_key(call), count.clear())


def make_key(call: DispatchedCall) -> str:
    """Return what all attempts of a call share, under whatever key."""
    return f"{call.program.id}:{call.state.digest}"
