"""Plots of the slopes, one file for each group."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import matplotlib as mpl

mpl.use("Agg")

import matplotlib.pyplot as plt
import numpy as np

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path


def write_plots(groups: Mapping[str, Sequence[dict[str, Any]]], folder: Path) -> None:
    """Write ``slope-GROUP.svg`` with the points and lines of each group."""
    mpl.rcParams["svg.hashsalt"] = "cedarchute"
    for group, fits in groups.items():
        figure, axes = plt.subplots(
            1, len(fits), figsize=(4 * len(fits), 3), squeeze=False
        )
        for axis, fit in zip(axes[0], fits, strict=True):
            x = np.array([point[0] for point in fit["points"]])
            y = np.array([point[1] for point in fit["points"]])
            axis.plot(x, y, "o", markersize=4)
            line = np.array([x.min(), x.max()])
            axis.plot(line, fit["slope"] * line + fit["base"], "-")
            axis.set_title(fit["name"], fontsize=9)
            axis.set_xlabel(fit["quantity"])
            axis.set_ylabel(fit["figure"])
        figure.tight_layout()
        figure.savefig(folder / f"slope-{group}.svg", metadata={"Date": None})
        plt.close(figure)
