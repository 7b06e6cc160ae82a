"""Tables and plots of the comparison of policies."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any, Final

import matplotlib as mpl

mpl.use("Agg")

import matplotlib.pyplot as plt
import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

Cell = dict[str, Any]
OURS: Final = "program_aware"


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
    if len(values) == 1:
        return f"{values[0]:.2f}"
    return f"{np.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def format_rows(cells: Sequence[Cell]) -> list[str]:
    """Return the Markdown rows of the comparison."""
    rows = [
        "| Mix | Load | Policy | Fault | p50 s | p95 s | p99 s | Slowdown p50, p95 | "
        "Again | Held after | Goodput | Finished | Refusals | "
        "Lost, doubled, out of order, failed |",
        "|" + " --- |" * 14,
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
            f"{spread(group, 'p99')} | {median(group, 'slowdown_p50'):.2f}, "
            f"{median(group, 'slowdown_p95'):.2f} | "
            f"{spread(group, 'computed_again')} | {median(group, 'held_after'):.0f} | "
            f"{median(group, 'goodput'):.2f} | {finished} of {programs} | "
            f"{reasons} | {', '.join(bad)} |"
        )
    return rows


def best_baseline(
    groups: dict[tuple[str, float, str, str], list[Cell]],
    scenario: str,
    load: float,
    figure: str,
) -> float:
    """Return the lowest median that any other policy reaches."""
    return min(
        median(cells, figure)
        for (name, at, policy, fault), cells in groups.items()
        if (name, at, fault) == (scenario, load, "") and policy != OURS
    )


def format_ratios(cells: Sequence[Cell]) -> list[str]:
    """Return the Markdown rows that set our policy against the best baseline."""
    groups = group_cells(cells)
    rows = [
        "| Mix | Load | p50 | p95 | p95 on idle engines | p95 beyond idle | "
        "Computed again |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for (scenario, load, policy, fault), group in groups.items():
        others = [key for key in groups if key[:2] == (scenario, load)]
        if policy != OURS or fault or len(others) == 1:
            continue
        best = {
            figure: best_baseline(groups, scenario, load, figure)
            for figure in ("p50", "p95", "computed_again")
        }
        idle = median(group, "idle_p95")
        beyond = (median(group, "p95") - idle) / (best["p95"] - idle)
        again = median(group, "computed_again")
        rows.append(
            f"| {scenario} | {load:.0%} | {median(group, 'p50') / best['p50']:.2f} | "
            f"{median(group, 'p95') / best['p95']:.2f} | {idle / best['p95']:.2f} | "
            f"{beyond:.2f} | {again / best['computed_again']:.2f} |"
        )
    return rows


def write_report(cells: Sequence[Cell], folder: Path) -> None:
    """Write ``bench.md`` and one plot for each mix."""
    (folder / "bench.md").write_text("\n".join(format_rows(cells)) + "\n")
    (folder / "bench-ratios.md").write_text("\n".join(format_ratios(cells)) + "\n")
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
