"""Engines that send without end are given up."""

from __future__ import annotations

import contextlib
import queue
import threading

import pytest

from cedarchute.address import Address
from cedarchute.metrics import Metrics
from cedarchute.targets.engine_client import EngineClient
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict
from standins.endless_answers import STREAM_SHAPES
from standins.raw_target import RawTarget
from standins.watched_script import ScriptEnd, WatchedScript

TIMEOUT_SECONDS = 0.5
GIVEN_UP_SECONDS = 10.0


def resume(script):
    """Read a stream of an engine with a script; return the error."""
    errors = queue.SimpleQueue()

    def read(address):
        try:
            for _ in EngineClient(Metrics()).resume(address, "r", 0, TIMEOUT_SECONDS):
                pass
        except TargetError as error:
            errors.put(error)

    with contextlib.closing(RawTarget(script)) as target:
        address = Address.parse(target.address)
        threading.Thread(target=read, args=(address,), daemon=True).start()
        return errors.get(timeout=GIVEN_UP_SECONDS)


@pytest.mark.parametrize("shape", ["event", "refusal", "headers", "trailers"])
def test_a_stream_without_end_is_given_up(shape):
    script = WatchedScript(STREAM_SHAPES[shape])
    assert isinstance(resume(script), TargetError)
    assert script.wait_end(GIVEN_UP_SECONDS) is ScriptEnd.CLOSED


def test_an_event_without_end_may_have_run():
    assert resume(STREAM_SHAPES["event"]).verdict is Verdict.MAY_HAVE_RUN
