"""Serves real programs end to end on this machine: ``make demo``."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

from cedarchute.cli.output import format_table
from cedarchute.scheduling.pinned_prefix_key import is_pinned_prefix_key
from experiments.box_timing import BoxTiming
from experiments.caller import Caller
from experiments.local_site import LocalSite
from experiments.signals import exit_on_signals

PROGRAMS: Final = 36
WORKERS: Final = 12
TURNS: Final = 4
DOMAINS: Final = ("suva-1", "suva-2", "suva-3")
EXAMPLE: Final = Path(__file__).parents[2] / "examples" / "demo.ini"


class Tally:
    """What the programs of the demo came to."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.latencies: list[float] = []
        self.calls = 0
        self.failures: list[str] = []
        self.refusals: Counter[str] = Counter()
        self.retries = 0

    def add(self, seconds: float, calls: int, caller: Caller) -> None:
        """Add one finished program."""
        with self.lock:
            self.latencies.append(seconds)
            self.calls += calls
            self.refusals.update(caller.refusals)
            self.retries += caller.retries
            sys.stdout.write(f"\r{len(self.latencies)} of {PROGRAMS} programs finished")
            sys.stdout.flush()


def run_program(site: LocalSite, number: int, tally: Tally) -> None:
    """Run one program: turns, a transfer that may not repeat, a sub-agent."""
    caller = Caller(list(site.callers.values()), seed=number)
    started = time.monotonic()
    calls = 0
    program = caller.open(workspace="tellers", tokens=20_000, calls=40)
    for turn in range(TURNS):
        message = {"role": "user", "content": f"Member {number}, step {turn}. " * 12}
        answer = caller.stream(
            program,
            f"turn-{turn}",
            service="agent-llm",
            messages=[message],
            max_tokens=24,
        )
        if answer.verdict != "ran":
            tally.failures.append(f"{program}: {answer.problem}")
        calls += 1
    paid = caller.call(program, "pay", service="core-api", body={"amount": number})
    if paid.document.get("verdict") != "ran":
        tally.failures.append(f"{program}: {paid.document}")
    helper = caller.open(workspace="tellers", parent=program, tokens=2_000, calls=4)
    question = {"role": "user", "content": "Is the balance plausible? " * 8}
    caller.call(helper, "ask", service="agent-llm", messages=[question], max_tokens=16)
    caller.end(helper)
    caller.end(program)
    tally.add(time.monotonic() - started, calls + 2, caller)


def run_programs(site: LocalSite) -> Tally:
    """Run every program of the demo, some at a time."""
    tally = Tally()
    numbers = iter(range(PROGRAMS))
    lock = threading.Lock()

    def work() -> None:
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return
            try:
                run_program(site, number, tally)
            except Exception as error:
                tally.failures.append(f"program {number}: {error}")

    workers = [threading.Thread(target=work) for _ in range(WORKERS)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    print()
    return tally


def start_site(folder: Path) -> LocalSite:
    """Start stand-ins and three daemons for the example file."""
    site = LocalSite(folder, BoxTiming(entry_keep_seconds=1.0))
    site.start_store()
    for number in range(5):
        domain = DOMAINS[number % len(DOMAINS)]
        site.start_engine(f"runner-{number + 1}", "agent-llm", domain)
    for number in range(2):
        site.start_service(f"api-{number + 1}", "core-api", DOMAINS[number])
    for number, domain in enumerate(DOMAINS):
        site.start_box(f"box-{number + 1}", domain)
    site.wait_targets()
    site.wait_boxes()
    return site


def apply_example(site: LocalSite) -> None:
    """Apply the example file, its addresses replaced by those of the stand-ins."""
    text = EXAMPLE.read_text()
    for name, target in site.targets.items():
        text = text.replace(f"{{{name}}}", f"127.0.0.1:{target.port}")
    file = site.folder / "site.ini"
    file.write_text(text)
    run_tool(site, "--wait", "apply", str(file))


def run_tool(site: LocalSite, *words: str) -> None:
    """Run the command-line tool as an operator would."""
    boxes = ",".join(site.peers.values())
    command = [sys.executable, "-m", "cedarchute.cli.main", "--box", boxes, *words]
    print(f"$ cedarchute {' '.join(words)}", flush=True)
    subprocess.run(command, check=False)


def read_held(site: LocalSite) -> int:
    """Return the tokens that engines hold for programs, all of which have ended."""
    held = 0
    for name, target in site.targets.items():
        if target.service == "agent-llm":
            found = site.http.get(site.target_address(name), "/cache/held")
            tokens = found["tokens"].items()
            held += sum(n for name, n in tokens if not is_pinned_prefix_key(name))
    return held


def sum_counts(site: LocalSite, counter: str) -> int:
    """Return a counter, summed over the engines."""
    total = 0
    for name, target in site.targets.items():
        if target.service == "agent-llm":
            counts: dict[str, Any] = site.http.get(site.target_address(name), "/counts")
            total += counts.get(counter, 0)
    return total


def report(site: LocalSite, tally: Tally) -> bool:
    """Print the result table; return whether everything went well."""
    latencies = sorted(tally.latencies)
    computed = sum_counts(site, "computed_tokens")
    cached = sum_counts(site, "cached_tokens")
    refusals = ", ".join(f"{k} {v}" for k, v in sorted(tally.refusals.items()))
    p95 = latencies[int(len(latencies) * 0.95)] if latencies else 0.0
    rows = [
        ["programs finished", f"{len(latencies)} of {PROGRAMS}"],
        ["program latency p50", f"{latencies[len(latencies) // 2]:.2f} s"],
        ["program latency p95", f"{p95:.2f} s"],
        ["calls answered", tally.calls],
        ["calls failed", len(tally.failures)],
        ["refusals by reason", refusals or "none"],
        ["prompt tokens from cache", f"{cached} of {cached + computed}"],
        ["cache held for ended programs", f"{read_held(site)} tokens"],
    ]
    print(format_table(["result", ""], rows))
    for failure in tally.failures:
        print(failure)
    return len(latencies) == PROGRAMS and not tally.failures


def main() -> None:
    """Run the demo; exit with 0 when every program has finished."""
    exit_on_signals()
    folder = Path(tempfile.mkdtemp(prefix="cedarchute-demo-")) / "run"
    print("starting a store, 5 engines, 2 plain services and 3 boxes", flush=True)
    with start_site(folder) as site:
        apply_example(site)
        tally = run_programs(site)
        run_tool(site, "boxes")
        run_tool(site, "status")
        is_good = report(site, tally)
    sys.exit(0 if is_good else 1)


if __name__ == "__main__":
    main()
