"""Measures what each role costs, from processes: ``make slopes``.

Writes docs/figures/slopes.json, which ``make capacity`` turns into the tables of
docs/CAPACITY.md, and one plot for each slope.
"""

from __future__ import annotations

import argparse
import json
import platform
import tempfile
import threading
import time
from collections import defaultdict
from dataclasses import asdict
from pathlib import Path
from typing import Any, Final

import numpy as np

from cedarchute.programs.reaper import PACK_AFTER_SECONDS, PACK_AT_ONCE
from experiments.box_timing import BoxTiming
from experiments.caller import Caller, StreamResult, take_event
from experiments.local_site import LocalSite
from experiments.repeated_load import RepeatedLoad
from experiments.slope import Slope
from experiments.slope_plots import write_plots

FIGURES: Final = Path(__file__).parents[2] / "docs" / "figures"
MEASURE_SECONDS: Final = 3.0
SETTLE_SECONDS: Final = 1.0
# Processor time is counted in steps of 10 ms; control uses one of them a second.
CONTROL_SECONDS: Final = 20.0
# The plan's mean answer: 4.4 million tokens over 13,000 requests.
ANSWER_TOKENS: Final = 338
SLOW_TIMING: Final = BoxTiming(
    lease_seconds=15.0,
    heartbeat_seconds=1.0,
    takeover_seconds=10.0,
    entry_keep_seconds=10.0,
    sweep_seconds=30.0,
    order_seconds=3.0,
    load_seconds=1.5,
    subset_targets=10,
    idle_program_seconds=900.0,
    keep_answers_seconds=600.0,
)


class Slopes:
    """Every slope, filled by runs that each start a site of their own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.slopes: dict[str, Slope] = {}

    def add(self, name: str, quantity: str, figure: str, x: float, y: float) -> None:
        """Add one point."""
        slope = self.slopes.setdefault(name, Slope(name, quantity, figure))
        slope.points.append((x, y))
        print(f"  {name}: {quantity} {x:g} -> {figure} {y:.6g}", flush=True)

    def site(self, timing: BoxTiming | None = None) -> LocalSite:
        """Return a new site."""
        return LocalSite(self.folder / "run", timing or SLOW_TIMING)


def start_small(site: LocalSite, engines: int = 2, boxes: int = 3) -> None:
    """Start a store, engines, a plain service and boxes, and apply a file."""
    site.services = {
        "agent": {"kind": "model", "model": "small"},
        "balance": {"kind": "plain"},
    }
    site.start_store()
    for number in range(engines):
        site.start_engine(
            f"engine-{number}", "agent", "domain-0", max_running=64, step_seconds=0.02
        )
    site.start_service("balance-1", "balance", "domain-0")
    for number in range(boxes):
        site.start_box(f"box-{number}", f"domain-{number % 3}")
    site.wait_targets()
    site.wait_boxes()
    assert site.apply(site.site_text()).status == 200
    site.wait_in_force(1)
    site.wait_held()


def measure_cpu(
    site: LocalSite, *names: str, seconds: float = MEASURE_SECONDS
) -> list[float]:
    """Return the cores that processes use over some seconds."""
    before = [site.processes[name].cpu_seconds for name in names]
    started = time.monotonic()
    time.sleep(seconds)
    passed = time.monotonic() - started
    return [
        (site.processes[name].cpu_seconds - earlier) / passed
        for name, earlier in zip(names, before, strict=True)
    ]


def measure_requests(slopes: Slopes) -> None:
    """Small plain calls: at the home, through another entry, at a holder."""
    with slopes.site() as site:
        start_small(site)
        home, entry = site.callers["box-0"], site.callers["box-1"]
        for via, address in (("home", home), ("entry", entry)):
            for rate in (40, 80, 120, 160):
                callers = [Caller([address], seed=n) for n in range(8)]
                for caller in callers:
                    caller.keep_until = float("inf")
                    caller.entries = [address]
                programs = [caller.open_here(home) for caller in callers]
                numbers = iter(range(10**9))

                def work(number: int) -> None:
                    callers[number].call(  # noqa: B023
                        programs[number],  # noqa: B023
                        f"{via}{rate}-{next(numbers)}",  # noqa: B023
                        service="balance",
                        body={"n": 1},
                    )

                with RepeatedLoad(work, 8, rate) as load:
                    time.sleep(SETTLE_SECONDS)
                    before, started = load.count, time.monotonic()
                    cpu = measure_cpu(site, "box-0", "box-1", "box-2")
                    done = (load.count - before) / (time.monotonic() - started)
                if via == "home":
                    slopes.add("request_home", "requests/s", "cores", done, cpu[0])
                    slopes.add("request_holder", "requests/s", "cores", done, cpu[2])
                else:
                    slopes.add("request_entry", "requests/s", "cores", done, cpu[1])


def measure_tokens(slopes: Slopes) -> None:
    """Streams: cost of a token event at the home and at another entry."""
    with slopes.site() as site:
        start_small(site)
        home, entry = site.callers["box-0"], site.callers["box-1"]
        for via, address in (("home", home), ("entry", entry)):
            for streams in (8, 16, 32, 48):
                tokens = [0]
                lock = threading.Lock()
                numbers = iter(range(10**9))

                def work(number: int) -> None:
                    caller = Caller([address], seed=number)  # noqa: B023
                    program = caller.open_here(home)
                    request = {
                        "service": "agent",
                        "messages": [{"role": "user", "content": "Hi"}],
                        "max_tokens": ANSWER_TOKENS,
                    }
                    headers = {"Idempotency-Key": f"{next(numbers)}"}  # noqa: B023
                    for event in caller.open_stream(
                        address,  # noqa: B023
                        program,
                        headers,
                        request,
                    ):
                        result = StreamResult()
                        take_event(result, event)
                        with lock:  # noqa: B023
                            tokens[0] += len(result.text) // 4  # noqa: B023

                with RepeatedLoad(work, streams, 10**6):
                    time.sleep(SETTLE_SECONDS * 2)
                    before, started = tokens[0], time.monotonic()
                    cpu = measure_cpu(site, "box-0", "box-1")
                    rate = (tokens[0] - before) / (time.monotonic() - started)
                cores = cpu[0] if via == "home" else cpu[1]
                slopes.add(f"token_{via}", "tokens/s", "cores", rate, cores)


def measure_programs(slopes: Slopes) -> None:
    """Memory of programs without history, at the home and at a holder."""
    with slopes.site() as site:
        start_small(site, engines=1)
        caller = Caller([site.callers["box-0"]])
        opened = 0
        for count in (0, 400, 800, 1600):
            while opened < count:
                caller.open_here(site.callers["box-0"])
                opened += 1
            time.sleep(SETTLE_SECONDS)
            for role, box in (("home", "box-0"), ("holder", "box-2")):
                memory = site.processes[box].memory_bytes
                slopes.add(f"program_{role}", "programs", "bytes", count, memory)


def measure_history(slopes: Slopes) -> None:
    """Memory of history, at the home, at a holder in memory and one on disk."""
    with slopes.site() as site:
        folder = site.folder / "data"
        folder.mkdir()
        site.services = {"balance": {"kind": "plain"}}
        site.start_store()
        site.start_service("balance-1", "balance", "domain-0")
        site.start_box("box-0", "domain-0")
        site.start_box("box-1", "domain-1")
        site.start_box("box-2", "domain-2", data_folder=str(folder))
        site.wait_targets()
        site.wait_boxes()
        assert site.apply(site.site_text()).status == 200
        site.wait_in_force(1)
        site.wait_held()
        caller = Caller([site.callers["box-0"]])
        program = caller.open_here(site.callers["box-0"])
        words = np.random.default_rng(7).integers(0, 5000, 40_000)
        text = " ".join(f"w{word}" for word in words)
        sent = 0
        for megabytes in (0, 4, 8, 16):
            while sent < megabytes * 1_000_000:
                body = text[:125_000] + str(sent)
                caller.call(program, f"k{sent}", service="balance", body=body)
                # The stand-in answers with the body: twice the text is kept.
                sent += 2 * len(body)
            time.sleep(SETTLE_SECONDS)
            for role, box in (
                ("home", "box-0"),
                ("holder_memory", "box-1"),
                ("holder_disk", "box-2"),
            ):
                memory = site.processes[box].memory_bytes
                slopes.add(f"history_{role}", "bytes of history", "bytes", sent, memory)
            time.sleep(PACK_AFTER_SECONDS + sent / PACK_AT_ONCE * 1.2 + 1.0)
            memory = site.processes["box-0"].memory_bytes
            slopes.add("history_home_idle", "bytes of history", "bytes", sent, memory)


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


MEASUREMENTS: Final = {
    "requests": measure_requests,
    "tokens": measure_tokens,
    "programs": measure_programs,
    "history": measure_history,
    "peers": measure_peers,
    "targets": measure_targets,
    "configuration": measure_configuration,
    "takeover": measure_takeover,
}


def main() -> None:
    """Run the measurements and write the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=2)
    parser.add_argument("--only", default=",".join(MEASUREMENTS))
    parser.add_argument("--output", default=str(FIGURES / "slopes.json"))
    arguments = parser.parse_args()
    slopes = Slopes(Path(tempfile.mkdtemp(prefix="cedarchute-slopes-")))
    for run in range(arguments.runs):
        for name in arguments.only.split(","):
            print(f"run {run + 1} of {arguments.runs}: {name}", flush=True)
            MEASUREMENTS[name](slopes)
    path = Path(arguments.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    fits: dict[str, Any] = {}
    if path.exists() and arguments.only != ",".join(MEASUREMENTS):
        fits = json.loads(path.read_text())["slopes"]
    fits.update(
        {name: slope.fit(arguments.runs) for name, slope in slopes.slopes.items()}
    )
    document = {
        "runs": arguments.runs,
        "python": platform.python_version(),
        "processor": platform.machine(),
        "date": time.strftime("%Y-%m-%d"),
        "slopes": fits,
    }
    path.write_text(json.dumps(document, indent=1) + "\n")
    groups: dict[str, list[dict[str, object]]] = defaultdict(list)
    for name, fit in fits.items():
        groups[name.split("_")[0]].append(fit)
    write_plots(groups, path.parent)


if __name__ == "__main__":
    main()
