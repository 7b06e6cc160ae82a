from __future__ import annotations

import json
import logging
import os
import subprocess
import sys

import pytest

from cedarchute.daemon.bounded_log import KEPT_BYTES, LINES_PER_SECOND, BoundedHandler
from cedarchute.daemon.logs import JsonFormatter


class Clock:
    now = 1.0

    def __call__(self):
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_handler(writer, clock):
    handler = BoundedHandler(writer, clock)
    handler.setFormatter(JsonFormatter())
    return handler


def say(handler, message, **fields):
    record = logging.LogRecord("cedarchute.calls", 20, "", 0, message, None, None)
    vars(record).update(fields)
    handler.emit(record)


def read_lines(reader):
    os.set_blocking(reader, False)
    data = b""
    try:
        while received := os.read(reader, 1 << 20):
            data += received
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.split(b"\n") if line]


def test_lines_go_out_with_their_fields(pipe):
    reader, writer = pipe
    say(make_handler(writer, Clock()), "Call sent.", target="t-1", active=3)
    (line,) = read_lines(reader)
    assert (line["message"], line["target"], line["active"]) == ("Call sent.", "t-1", 3)
    assert line["part"] == "calls"


def test_each_event_has_its_budget_and_what_is_dropped_is_told(pipe):
    reader, writer = pipe
    clock = Clock()
    handler = make_handler(writer, clock)
    for _ in range(LINES_PER_SECOND + 50):
        say(handler, "Call sent.")
    say(handler, "Store lost.")
    lines = read_lines(reader)
    assert len([x for x in lines if x["message"] == "Call sent."]) == LINES_PER_SECOND
    assert lines[-1]["message"] == "Store lost."
    clock.now += 1
    say(handler, "Call sent.")
    told, last = read_lines(reader)
    assert (told["message"], told["count"]) == ("Lines dropped.", 50)
    assert told["event"].endswith("Call sent.")
    assert last["message"] == "Call sent."


def test_nobody_reading_blocks_nothing_and_memory_stays_bounded(pipe):
    reader, writer = pipe
    clock = Clock()
    handler = make_handler(writer, clock)
    for _ in range(60):
        clock.now += 1
        for _ in range(100):
            say(handler, "Call sent.", text="x" * 200)
    assert handler.kept_bytes <= KEPT_BYTES
    assert sum(handler.dropped.values()) > 0
    while read_lines(reader):
        handler.flush_kept()
    clock.now += 1
    say(handler, "Call answered.")
    messages = [line["message"] for line in read_lines(reader)]
    assert messages[-1] == "Call answered."
    assert "Lines dropped." in messages


# Logs far more than a pipe takes, as a box does: with the patched modules of its loop.
FULL_PIPE = """
import cedarchute.daemon.main
import logging
import sys
from cedarchute.daemon.bounded_log import BoundedHandler
handler = BoundedHandler(1)
logging.getLogger().addHandler(handler)
for number in range(3000):
    logging.warning("line %d %s", number, "x" * 500)
sys.stderr.write("every line was taken or dropped")
sys.stderr.flush()
import os
os._exit(0)
"""


def test_a_full_pipe_stops_no_task_of_a_box():
    reader, writer = os.pipe()
    try:
        done = subprocess.run(
            [sys.executable, "-c", FULL_PIPE],
            stdout=writer,
            stderr=subprocess.PIPE,
            text=True,
            timeout=60,
            check=False,
        )
    finally:
        os.close(reader)
        os.close(writer)
    assert done.stderr == "every line was taken or dropped"


# Writes more lines than any pipe holds, and says by its exit code that it went on.
FULL_DISK = """
import logging, sys
from cedarchute.daemon.bounded_log import BoundedHandler
from cedarchute.daemon.logs import JsonFormatter
handler = BoundedHandler(sys.stdout.fileno())
handler.setFormatter(JsonFormatter())
for number in range(2000):
    handler.emit(logging.LogRecord("cedarchute", 20, "", 0, "Said.", None, None))
sys.exit(7)
"""


def test_a_full_disk_under_the_log_filled_standard_error_until_the_box_hung():
    with open("/dev/full", "wb") as full:
        process = subprocess.Popen(
            [sys.executable, "-c", FULL_DISK], stdout=full, stderr=subprocess.PIPE
        )
    try:
        assert process.wait(30) == 7
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_lines_from_before_a_full_disk_are_written_once_there_is_room(pipe):
    reader, writer = pipe
    handler = make_handler(writer, Clock())
    with open("/dev/full", "wb") as full:
        handler.descriptor = full.fileno()
        say(handler, "First.")
    handler.descriptor = writer
    say(handler, "Second.")
    assert [line["message"] for line in read_lines(reader)] == ["First.", "Second."]


# Tasks whose traces are more than a pipe holds, and one after them.
FAILING_TASKS = """
import cedarchute.daemon.main
import os
import eventlet
from cedarchute.daemon.logs import set_up_bounded_logs
set_up_bounded_logs("json", "info")
def fail():
    raise ValueError("in a task")
for _ in range(600):
    eventlet.spawn_n(fail)
eventlet.sleep(0)
eventlet.spawn(eventlet.sleep, 0.01).wait()
os._exit(7)
"""


@pytest.mark.parametrize("is_shared", [False, True])
def test_traces_of_tasks_that_nobody_read_hung_the_box(pipe, is_shared):
    _, writer = pipe
    process = subprocess.Popen(
        [sys.executable, "-c", FAILING_TASKS],
        stdout=writer if is_shared else subprocess.DEVNULL,
        stderr=writer,
    )
    try:
        assert process.wait(30) == 7
    finally:
        process.kill()
        process.wait()


# A box without a role, whose lines are more than a pipe holds.
PEER_LINES = """
import logging, os
from cedarchute.daemon.logs import set_up_logs
set_up_logs("text", "info")
for number in range(300):
    logging.getLogger("cedarchute.daemon").info("line %s", "x" * 500)
os._exit(7)
"""


def test_lines_that_nobody_read_hung_a_box_without_a_role(pipe):
    _, writer = pipe
    process = subprocess.Popen([sys.executable, "-c", PEER_LINES], stderr=writer)
    try:
        assert process.wait(30) == 7
    finally:
        process.kill()
        process.wait()
