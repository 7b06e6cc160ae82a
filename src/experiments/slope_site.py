"""What every measurement of slopes starts from."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from experiments.box_timing import BoxTiming
from experiments.local_site import LocalSite
from experiments.slope import Slope

if TYPE_CHECKING:
    from pathlib import Path

MEASURE_SECONDS: Final = 3.0
SETTLE_SECONDS: Final = 1.0
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
