"""Plays seeds for some minutes; each run starts a site of its own."""

from __future__ import annotations

import logging
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

from absl import app, flags

from experiments.signals import exit_on_signals
from experiments.soak.play import Play
from experiments.soak.soak_run import SoakResult, play_seed

SECONDS_PER_MINUTE: Final = 60.0
PLAY_SECONDS: Final = {
    Play.FAULTS: 12.0,
    Play.PLANNED: 30.0,
    Play.LOSSES: 30.0,
    Play.TURNOVER: 60.0,
}
CALLERS: Final = 8
MOST_LINES: Final = 40

PLAY = flags.DEFINE_enum("play", "faults", list(Play), "What happens to the site.")
SEED = flags.DEFINE_integer("seed", None, "The first seed; else drawn from the time.")
MINUTES = flags.DEFINE_float("minutes", 2.0, "How long to begin new seeds.")
RUNS = flags.DEFINE_integer("runs", None, "How many seeds instead of for how long.")
FINAL = flags.DEFINE_boolean("final", True, "Whether a last fault closes each run.")
KEEP = flags.DEFINE_string("keep", None, "Folder for the logs of seeds that failed.")


def describe(result: SoakResult) -> str:
    """Return one line on a run."""
    ending = "holds" if not result.broken else "BROKEN"
    counts = sorted(result.figures.items())
    figures = "".join(f", {count} {why}" for why, count in counts)
    return (
        f"seed {result.seed}: {ending}; {result.steps} steps, {result.tries} tries, "
        f"{result.runs} runs at back ends, {result.programs} programs finished"
        f"{figures}"
    )


def make_folder(parent: Path, prefix: str) -> Path:
    """Return a new folder: disks of an earlier run would know the same turns."""
    parent.mkdir(parents=True, exist_ok=True)
    return Path(tempfile.mkdtemp(prefix=prefix, dir=parent))


def play_and_print(seed: int) -> bool:
    """Play one seed in a folder of its own; return whether all promises held."""
    with tempfile.TemporaryDirectory(prefix="soak-") as scratch:
        folder = Path(scratch)
        play = Play(PLAY.value)
        if KEEP.value:
            folder = make_folder(Path(KEEP.value), f"{play}-{seed}-")
        seconds = PLAY_SECONDS[play]
        result = play_seed(seed, seconds, CALLERS, folder, play, FINAL.value)
    print(describe(result), flush=True)
    for line in result.broken[:MOST_LINES]:
        print(f"  {line}", flush=True)
    if result.broken:
        command = f"make soak PLAY={play} SEED={seed} MINUTES=0.01"
        print(f"  {len(result.broken)} broken; again: {command}", flush=True)
    return not result.broken


def run(argv: list[str]) -> int:
    """Play seeds until the time is over; 1 when a promise was broken."""
    del argv
    exit_on_signals()
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    first = SEED.value if SEED.value is not None else int(time.time())
    until = time.monotonic() + MINUTES.value * SECONDS_PER_MINUTE
    played = failed = 0
    while time.monotonic() < until if RUNS.value is None else played < RUNS.value:
        failed += not play_and_print(first + played)
        played += 1
    print(f"{played} seeds from {first}, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(lambda argv: sys.exit(run(argv)))
