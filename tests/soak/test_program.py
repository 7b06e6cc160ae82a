"""What a run learns of its callers."""

from __future__ import annotations

from types import SimpleNamespace

from experiments.soak.program import ProgramCaller
from experiments.soak.records import Records


def test_a_caller_that_stopped_by_an_error_went_unnoticed():
    def fail(chance):
        raise ValueError("no more files")

    site = SimpleNamespace(records=Records(), ask_entry=fail, is_direct=True)
    caller = ProgramCaller(0, 1, site)
    caller.run()
    assert caller.failures == ["CALLER c0 stopped: ValueError('no more files')"]
