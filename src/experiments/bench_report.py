"""Tables and plots of the comparison of policies."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

import matplotlib as mpl

mpl.use("Agg")

import matplotlib.pyplot as plt
import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

Cell = dict[str, Any]


def group_cells(cells: Sequence[Cell]) -> dict[tuple[str, float, str, str], list[Cell]]:
    """Return the cells by scenario, load, policy and fault."""
    groups: dict[tuple[str, float, str, str], list[Cell]] = defaultdict(list)
    for cell in cells:
        key = (cell["scenario"], cell["load"], cell["policy"], cell["fault"])
        groups[key].append(cell)
    return groups


def median(cells: Sequence[Cell], figure: str) -> float:
    """Return the median of a figure over seeds."""
    return float(np.median([cell[figure] for cell in cells]))


def spread(cells: Sequence[Cell], figure: str) -> str:
    """Return the median of a figure and its least and most over seeds."""
    values = [cell[figure] for cell in cells]
    return f"{np.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def format_rows(cells: Sequence[Cell]) -> list[str]:
    """Return the Markdown rows of the comparison."""
    rows = [
        "| Mix | Load | Policy | Fault | p50 s | p95 s | p99 s | Again | Goodput | "
        "Finished | Refusals | Lost, doubled, out of order, failed |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for (scenario, load, policy, fault), group in group_cells(cells).items():
        finished = sum(cell["finished"] for cell in group)
        programs = sum(cell["programs"] for cell in group)
        refusals: dict[str, int] = defaultdict(int)
        for cell in group:
            for reason, count in cell["refusals"].items():
                refusals[reason] += count
        bad = [
            str(sum(cell[key] for cell in group))
            for key in ("lost", "doubled", "out_of_order", "failed")
        ]
        reasons = ", ".join(f"{k} {v}" for k, v in sorted(refusals.items())) or "none"
        rows.append(
            f"| {scenario} | {load:.0%} | {policy} | {fault or 'none'} | "
            f"{spread(group, 'p50')} | {spread(group, 'p95')} | "
            f"{spread(group, 'p99')} | {spread(group, 'computed_again')} | "
            f"{median(group, 'goodput'):.2f} | {finished} of {programs} | "
            f"{reasons} | {', '.join(bad)} |"
        )
    return rows


def write_report(cells: Sequence[Cell], folder: Path) -> None:
    """Write ``bench.md`` and one plot for each mix."""
    (folder / "bench.md").write_text("\n".join(format_rows(cells)) + "\n")
    mpl.rcParams["svg.hashsalt"] = "cedarchute"
    groups = group_cells(cells)
    for scenario in sorted({cell["scenario"] for cell in cells}):
        figure, axes = plt.subplots(1, 2, figsize=(9, 3.2))
        loads = sorted({key[1] for key in groups if key[0] == scenario})
        policies = sorted({key[2] for key in groups if key[0] == scenario})
        for axis, name, title in (
            (axes[0], "p95", "whole program p95, s"),
            (axes[1], "computed_again", "tokens computed again, share"),
        ):
            for policy in policies:
                points = [
                    (load, median(groups[(scenario, load, policy, "")], name))
                    for load in loads
                    if (scenario, load, policy, "") in groups
                ]
                axis.plot(*zip(*points, strict=True), "o-", label=policy)
            axis.set_title(f"{scenario}: {title}", fontsize=9)
            axis.set_xlabel("load, share of capacity")
        axes[0].legend(fontsize=7)
        figure.tight_layout()
        figure.savefig(folder / f"bench-{scenario}.svg", metadata={"Date": None})
        plt.close(figure)
