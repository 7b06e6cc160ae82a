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

TIMEOUT_SECONDS = 0.5
GIVEN_UP_SECONDS = 10.0


def resume(script):
    """Read a stream of an engine with a script; return the error and who ended it."""
    errors = queue.SimpleQueue()
    ends = queue.SimpleQueue()

    def respond(request, connection):
        try:
            script(request, connection)
        except OSError:
            ends.put("closed by the caller")
        else:
            ends.put("read to the last byte")

    def read(address):
        try:
            for _ in EngineClient(Metrics()).resume(address, "r", 0, TIMEOUT_SECONDS):
                pass
        except TargetError as error:
            errors.put(error)

    with contextlib.closing(RawTarget(respond)) as target:
        address = Address.parse(target.address)
        threading.Thread(target=read, args=(address,), daemon=True).start()
        error = errors.get(timeout=GIVEN_UP_SECONDS)
        return error, ends.get(timeout=GIVEN_UP_SECONDS)


@pytest.mark.parametrize("shape", ["event", "refusal", "headers", "trailers"])
def test_a_stream_without_end_is_given_up(shape):
    error, end = resume(STREAM_SHAPES[shape])
    assert isinstance(error, TargetError)
    assert end == "closed by the caller"


def test_an_event_without_end_may_have_run():
    error, _ = resume(STREAM_SHAPES["event"])
    assert error.verdict is Verdict.MAY_HAVE_RUN
