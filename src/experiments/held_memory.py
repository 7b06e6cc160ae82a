"""Measures the memory that an entry box needs for each byte that it holds.

Run as ``python -m experiments.held_memory``; prints one line for each cause.
"""

from __future__ import annotations

import contextlib
import socket
import tempfile
import time
from pathlib import Path
from typing import Final

from experiments.node_site import NodeSite
from experiments.raw_caller import RawCaller, build_request, call
from experiments.waiting import wait_until
from standins.raw_target import RawRequest, RawTarget, answer

MEGABYTE: Final = 1_000_000
CALLS: Final = 8
# Larger than what the buffers of the system take.
ANSWER: Final = b"x" * 6 * MEGABYTE
BODY: Final = b"x" * (39 * MEGABYTE // 10)
BOUND_MB: Final = 200
# Bodies are counted before they come.
SAMPLES: Final = 30
SAMPLE_SECONDS: Final = 0.1
ROUTE: Final = {
    "Name": "r-once",
    "Host": "site.example",
    "PathPrefix": "/once/",
    "Type": "non_idempotent",
    "TimeoutMs": 8000,
    "SloMs": 400,
    "Priority": 0,
    "Service": "plain",
    "MaxAttempts": 1,
}


def respond(request: RawRequest, connection: socket.socket) -> None:
    """Answer with a large body, or a small one."""
    is_large = b"/large" in request.line
    connection.sendall(answer(request, ANSWER if is_large else b"done"))


def connect(address: str) -> RawCaller:
    """Return a caller with a small buffer."""
    caller = RawCaller(address)
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    return caller


def find_peak(site: NodeSite) -> int:
    """Return the most resident bytes of the entry box within some seconds."""
    peak = 0
    for _ in range(SAMPLES):
        time.sleep(SAMPLE_SECONDS)
        peak = max(peak, site.processes["entry-1"].memory_bytes)
    return peak


def measure(cause: str) -> None:
    """Have one fresh box hold bytes for `cause`; print what they cost."""
    with (
        tempfile.TemporaryDirectory() as folder,
        NodeSite(Path(folder)) as site,
        contextlib.closing(RawTarget(respond)) as target,
        contextlib.ExitStack() as stack,
    ):
        site.start_store()
        site.entry_settings = ["[pressure]", f"max_held_mb = {BOUND_MB}"]
        site.start_entry("entry-1", "a")
        site.configure([ROUTE], MaxBodyBytes=4 * MEGABYTE)
        site.wait_ready()
        site.add_target("t-1", "plain", target.address)
        entry = site.callers["entry-1"]
        wait_until(lambda: call(entry, b"/once/x", b"a1")[0] == 200, "a call is served")
        before = site.processes["entry-1"].memory_bytes
        for number in range(CALLS):
            caller = stack.enter_context(connect(entry))
            call_id = b"c%d" % number
            if cause == "answer":
                caller.send(build_request(b"/once/large", call_id))
            else:
                caller.send(build_request(b"/once/x", call_id, BODY)[:-1])
        size = len(ANSWER) if cause == "answer" else len(BODY)
        wait_until(
            lambda: site.count("entry-1", f"held.peak.{cause}") >= CALLS * size * 0.98,
            "all are held",
        )
        peak = find_peak(site)
    print(
        f"{cause}: {CALLS} of {size / MEGABYTE:g} MB, "
        f"{(peak - before) / (CALLS * size):.2f} bytes of memory for each that is held"
    )


if __name__ == "__main__":
    for held_cause in ("answer", "request_body"):
        measure(held_cause)
