"""Plays seeds of the soak of leaving targets, each on a site of its own."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

from absl import app, flags

from experiments.leave_soak.leave_run import LeaveSoakResult, play_seed
from experiments.signals import exit_on_signals

SEED = flags.DEFINE_integer("seed", None, "The first seed; else drawn from the time.")
RUNS = flags.DEFINE_integer("runs", 1, "How many seeds.")
SECONDS = flags.DEFINE_float("seconds", 15.0, "How long faults are played.")
ENTRIES = flags.DEFINE_integer("entries", 7, "How many entry boxes.")
TARGETS = flags.DEFINE_integer("targets", 6, "How many targets take calls.")
KEEP = flags.DEFINE_string("keep", None, "Folder for the logs of the runs.")


def describe(result: LeaveSoakResult) -> str:
    """Return one line on a run."""
    ending = "BROKEN" if result.broken else "holds"
    return (
        f"seed {result.seed}: {ending}; {result.events} events, {result.left} targets "
        f"left, {result.calls} calls, {result.answered} answered, {result.sent_late} "
        f"sent late, {result.read_late} read late"
    )


def run(argv: list[str]) -> int:
    """Play seeds; 1 when a check failed."""
    del argv
    exit_on_signals()
    first = SEED.value if SEED.value is not None else int(time.time())
    is_broken = False
    for seed in range(first, first + RUNS.value):
        with tempfile.TemporaryDirectory(prefix="leave-soak-") as scratch:
            folder = Path(scratch)
            if KEEP.value:
                folder = Path(KEEP.value) / str(seed)
            result = play_seed(
                seed, SECONDS.value, ENTRIES.value, TARGETS.value, folder
            )
        print(describe(result), flush=True)
        for line in result.broken:
            print(f"  {line}", flush=True)
        is_broken = is_broken or bool(result.broken)
    return int(is_broken)


def main() -> None:
    """Run the command."""
    app.run(run, argv=sys.argv)


if __name__ == "__main__":
    main()
