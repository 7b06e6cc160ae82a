"""One measured figure against one quantity, with the line through its points."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field

import numpy as np


@dataclass
class Slope:
    """Points of one figure against one quantity, and the line through them."""

    name: str
    quantity: str
    figure: str
    points: list[tuple[float, float]] = field(default_factory=list)

    def fit(self, runs: int) -> dict[str, object]:
        """Return the line and the spread of the slope over the runs."""
        x = np.array([point[0] for point in self.points])
        y = np.array([point[1] for point in self.points])
        slope, base = np.polyfit(x, y, 1)
        residual = y - (slope * x + base)
        per_run = []
        count = len(x) // runs
        for run in range(runs):
            part = slice(run * count, (run + 1) * count)
            per_run.append(float(np.polyfit(x[part], y[part], 1)[0]))
        return {
            **asdict(self),
            "slope": float(slope),
            "base": float(base),
            "slope_least": min(per_run),
            "slope_most": max(per_run),
            "residual": float(np.sqrt(np.mean(residual**2))),
        }
