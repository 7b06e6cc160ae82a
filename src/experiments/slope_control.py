"""Slopes of the control part: boxes, targets, the accepted file, takeovers."""

from __future__ import annotations

import time
from dataclasses import asdict
from typing import TYPE_CHECKING, Final

from experiments.box_timing import BoxTiming
from experiments.caller import Caller
from experiments.slope_site import (
    SETTLE_SECONDS,
    SLOW_TIMING,
    Slopes,
    measure_cpu,
    start_small,
)

if TYPE_CHECKING:
    from experiments.local_site import LocalSite

# Processor time is counted in steps of 10 ms; control uses one of them a second.
CONTROL_SECONDS: Final = 20.0


def measure_peers(slopes: Slopes) -> None:
    """Control at rest, against the number of boxes."""
    with slopes.site() as site:
        start_small(site, engines=0, boxes=4)
        started = 4
        for count in (4, 16, 32, 64):
            while started < count:
                site.start_box(f"box-{started}", f"domain-{started % 3}")
                started += 1
            site.wait_boxes()
            site.wait_held()
            time.sleep(SETTLE_SECONDS * 2)
            measure_control(slopes, site, "peers", count)


def measure_control(slopes: Slopes, site: LocalSite, quantity: str, x: float) -> None:
    """Add the control figures of one box and the calls of the store."""
    counters = ("control.bytes",)
    calls = site.http.get(site.store, "/calls")
    before = [site.counter("box-1", name) for name in counters]
    started = time.monotonic()
    cpu = measure_cpu(site, "box-1", seconds=CONTROL_SECONDS)
    passed = time.monotonic() - started
    after = [site.counter("box-1", name) for name in counters]
    later = site.http.get(site.store, "/calls")
    sent = (after[0] - before[0]) / passed
    slopes.add(f"control_cpu_{quantity}", quantity, "cores", x, cpu[0])
    slopes.add(f"control_bytes_{quantity}", quantity, "bytes/s", x, sent)
    memory = site.processes["box-1"].memory_bytes
    slopes.add(f"control_memory_{quantity}", quantity, "bytes", x, memory)
    if quantity == "peers":
        done = (sum(later.values()) - sum(calls.values())) / passed
        slopes.add("store_calls", "boxes", "calls/s", x, done)


def measure_targets(slopes: Slopes) -> None:
    """Control at rest, against how many engines a box polls a second."""
    timing = BoxTiming(**{**asdict(SLOW_TIMING), "subset_targets": 100})
    for count in (5, 10, 20, 40):
        with slopes.site(timing) as site:
            start_small(site, engines=count)
            time.sleep(SETTLE_SECONDS)
            polls = count / timing.load_seconds
            measure_control(slopes, site, "polls", polls)


def measure_configuration(slopes: Slopes) -> None:
    """Memory and processor time of an accepted file, against its size."""
    with slopes.site() as site:
        start_small(site, engines=0)
        for revision, count in enumerate((50, 250, 500, 1100), start=2):
            lines = [site.site_text()]
            for number in range(count):
                lines.append(
                    f"[target fake-{number}]\nservice = balance\n"
                    f"address = 10.{number // 200}.{number % 200}.1:7000\n"
                    "failure_domain = domain-0\nstate = leaving\n"
                )
            for number in range(count * 340 // 1100):
                lines.append(f"[workspace w{number}]\ncalls_per_second = 10\n")
            text = "\n".join(lines)
            before = site.processes["box-1"].cpu_seconds
            reply = site.apply(text, f"size-{count}", revision - 1)
            assert reply.status == 200, reply.document
            site.wait_in_force(revision)
            time.sleep(SETTLE_SECONDS)
            spent = site.processes["box-1"].cpu_seconds - before
            slopes.add("file_cpu", "targets in file", "core-seconds", count, spent)
            memory = site.processes["box-1"].memory_bytes
            slopes.add("file_memory", "targets in file", "bytes", count, memory)
            slopes.add("file_size", "targets in file", "bytes", count, len(text))


def measure_takeover(slopes: Slopes) -> None:
    """Seconds from the kill of a home until each of its programs answers."""
    for count in (50, 100, 200, 400):
        with slopes.site() as site:
            start_small(site, engines=0, boxes=4)
            opener = Caller([site.callers["box-0"]])
            programs = [opener.open_here(site.callers["box-0"]) for _ in range(count)]
            caller = Caller([site.callers["box-1"]])
            site.processes["box-0"].kill()
            started = time.monotonic()
            for program in programs:
                caller.show(program)
            passed = time.monotonic() - started
            slopes.add("takeover", "programs", "seconds", count, passed)
