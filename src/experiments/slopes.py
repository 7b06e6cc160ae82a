"""Measures what each role costs, from processes: ``make slopes``.

Writes docs/figures/slopes.json, which ``make capacity`` turns into the tables of
docs/CAPACITY.md, and one plot for each slope.
"""

from __future__ import annotations

import argparse
import json
import platform
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import Any, Final

from experiments.signals import exit_on_signals
from experiments.slope_control import (
    measure_configuration,
    measure_peers,
    measure_takeover,
    measure_targets,
)
from experiments.slope_data import (
    measure_history,
    measure_idle_history,
    measure_programs,
    measure_requests,
    measure_tokens,
)
from experiments.slope_plots import write_plots
from experiments.slope_site import Slopes

FIGURES: Final = Path(__file__).parents[2] / "docs" / "figures"

MEASUREMENTS: Final = {
    "requests": measure_requests,
    "tokens": measure_tokens,
    "programs": measure_programs,
    "history": measure_history,
    "idle_history": measure_idle_history,
    "peers": measure_peers,
    "targets": measure_targets,
    "configuration": measure_configuration,
    "takeover": measure_takeover,
}


def main() -> None:
    """Run the measurements and write the figures."""
    exit_on_signals()
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
