"""Plays seeds of the soak of clients that nobody controls."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

from absl import app, flags

from experiments.hostile_soak.hostile_run import HostileSoakResult, play_seed
from experiments.signals import exit_on_signals

SEED = flags.DEFINE_integer("seed", None, "The first seed; else drawn from the time.")
RUNS = flags.DEFINE_integer("runs", 1, "How many seeds.")
SECONDS = flags.DEFINE_float("seconds", 15.0, "How long faults are played.")
KEEP = flags.DEFINE_string("keep", None, "Folder for the logs of the runs.")


def describe(result: HostileSoakResult) -> str:
    """Return one line on a run."""
    ending = "BROKEN" if result.broken else "holds"
    return (
        f"seed {result.seed}: {ending}; {result.crowds} crowds, {result.faults} "
        f"faults, {result.turns} turns answered, {result.peak_mb:.0f} MB at most"
    )


def run(argv: list[str]) -> int:
    """Play seeds; 1 when a check failed."""
    del argv
    exit_on_signals()
    first = SEED.value if SEED.value is not None else int(time.time())
    is_broken = False
    for seed in range(first, first + RUNS.value):
        with tempfile.TemporaryDirectory(prefix="hostile-soak-") as scratch:
            folder = Path(scratch)
            if KEEP.value:
                folder = Path(KEEP.value) / str(seed)
            result = play_seed(seed, SECONDS.value, folder)
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
