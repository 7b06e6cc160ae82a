"""Compares our policy with the baselines, in one run: ``make bench``.

Interleaved over policies, several seeds; writes one file of figures a mix, a
table and plots to docs/figures.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import numpy as np

from experiments.bench_report import OURS, write_report
from experiments.bench_summary import read_counts, summarise, summarise_cache
from experiments.box_timing import BoxTiming
from experiments.http_json import HttpJson
from experiments.load_run import LoadRun
from experiments.local_site import LocalSite
from experiments.marked_page import replace_marked
from experiments.program_plan import plan_programs
from experiments.scenario import load_scenario
from experiments.signals import exit_on_signals

if TYPE_CHECKING:
    from collections.abc import Sequence

    from experiments.program_plan import ProgramPlan
    from experiments.scenario import Scenario

FIGURES: Final = Path(__file__).parents[2] / "docs" / "figures"
PAGE: Final = FIGURES.parent / "BENCH.md"
POLICIES: Final = ("program_aware", "round_robin", "least_load", "sticky")
FAULTS: Final = ("box", "domain", "target", "store")
UNDER_WAY: Final = 2
SETTLED_SHARE: Final = 0.4


class Bench:
    """One scenario on one site that stays up for all its cells."""

    def __init__(
        self, scenario: Scenario, folder: Path, seconds: float, path: Path
    ) -> None:
        self.scenario = scenario
        self.seconds = seconds
        self.folder = folder
        self.path = path
        self.revision = 0
        self.cells: list[dict[str, Any]] = []
        self.capacity = 0.0

    def start(self) -> LocalSite:
        """Start a fresh site for the scenario."""
        site = LocalSite(self.folder, BoxTiming(load_seconds=0.25))
        site.services = {"agent": {"kind": "model", "model": "small"}}
        site.services["agent"]["timeout_seconds"] = "60"
        site.start_store()
        scenario = self.scenario
        for number in range(scenario.engines):
            domain = f"domain-{number % scenario.domains}"
            site.start_engine(f"engine-{number}", "agent", domain, **scenario.engine)
        for number in range(scenario.boxes):
            site.start_box(f"box-{number}", f"domain-{number % scenario.domains}")
        site.wait_targets()
        site.wait_boxes()
        self.revision = 0
        return site

    def apply(self, site: LocalSite, policy: str) -> None:
        """Put a policy in force and empty the engines' caches."""
        weight = self.scenario.latency_weight
        name, _, order = policy.partition("/")
        text = site.site_text(
            policy=name, latency_weight=weight, order=order or "oldest"
        )
        reply = site.apply(text, f"cell-{self.revision}", self.revision)
        assert reply.status == 200, reply.document
        self.revision += 1
        site.wait_in_force(self.revision)
        site.wait_held()
        for name in site.targets:
            site.switch_target(name, flush=True)

    def measure_capacity(self, site: LocalSite, policies: Sequence[str]) -> None:
        """Measure the most programs a second that any policy carries.

        With some programs under way for each slot no slot waits for a pause. A
        policy that computes much again carries less than the engines could, so the
        best of all policies is what loads are a share of.
        """
        slots = self.scenario.engines * int(self.scenario.engine["max_running"])
        for policy in policies:
            self.apply(site, policy)
            generator = np.random.default_rng(99)
            plans = plan_programs(self.scenario, slots * 2, self.seconds, generator)
            run = LoadRun(site, HttpJson(), self.idle_seconds)
            result = run.run_closed(plans, slots * UNDER_WAY, self.seconds)
            times = np.array(result.finished_at)
            middle = (times > self.seconds * SETTLED_SHARE) & (times < self.seconds)
            counted_seconds = self.seconds * (1.0 - SETTLED_SHARE)
            carried = float(np.sum(middle)) / counted_seconds
            self.capacity = max(self.capacity, carried)
            print(f"{self.scenario.name}: {policy} carries {carried:.2f} programs/s")

    def idle_seconds(self, plan: ProgramPlan) -> float:
        """Return how long a program takes when nobody else is there."""
        engine = self.scenario.engine
        return plan.idle_seconds(
            float(engine["step_seconds"]), int(engine["prefill_per_step"])
        )

    def run_cells(
        self, loads: Sequence[float], policies: Sequence[str], seed: int
    ) -> None:
        """Run the cells of one seed; programs left over end with their site."""
        site = self.start()
        try:
            for load in loads:
                for policy in policies:
                    if self.run_cell(site, policy, load, seed):
                        site.stop()
                        site = self.start()
        finally:
            site.stop()

    def run_cell(
        self, site: LocalSite, policy: str, load: float, seed: int, fault: str = ""
    ) -> int:
        """Run one cell, keep its figures, return how many programs are left over."""
        self.apply(site, policy)
        generator = np.random.default_rng(seed)
        rate = self.capacity * load
        plans = plan_programs(self.scenario, rate, self.seconds, generator)
        before = read_counts(site)
        striker = threading.Timer(self.seconds / 2, strike, (site, fault))
        if fault:
            striker.start()
        result = LoadRun(site, HttpJson(), self.idle_seconds).run(plans)
        if fault:
            striker.join()
        cell = {
            "scenario": self.scenario.name,
            "policy": policy,
            "load": load,
            "seed": seed,
            "fault": fault,
            "programs": len(plans),
            "idle_p95": float(np.percentile([*map(self.idle_seconds, plans)], 95)),
            **summarise(result, self.seconds),
            **summarise_cache(site, before),
        }
        self.cells.append(cell)
        document = {
            "seconds": self.seconds,
            "capacity": self.capacity,
            "cells": self.cells,
        }
        self.path.write_text(json.dumps(document, indent=1) + "\n")
        print(
            f"{self.scenario.name} {policy} load {load} seed {seed} {fault}: "
            f"p50 {cell['p50']:.2f} p95 {cell['p95']:.2f} idle {cell['idle_p95']:.2f} "
            f"slowdown {cell['slowdown_p50']:.2f} {cell['slowdown_p95']:.2f} "
            f"again {cell['computed_again']:.3f} finished {cell['finished']} "
            f"of {cell['programs']} refusals {cell['refusals']}",
            flush=True,
        )
        return result.unfinished


def strike(site: LocalSite, fault: str) -> None:
    """Bring about the fault of a cell."""
    if fault == "box":
        site.processes["box-0"].kill()
    elif fault == "domain":
        for name, process in site.processes.items():
            if name.startswith("box-") and "domain-0" in read_domain(site, name):
                process.kill()
    elif fault == "target":
        site.processes["engine-0"].kill()
    elif fault == "store":
        site.switch_store(down=True)
        time.sleep(5.0)
        site.switch_store(down=False)


def read_domain(site: LocalSite, box: str) -> str:
    """Return the settings of a box, which name its failure domain."""
    return (site.folder / f"{box}.ini").read_text()


def run_scenario(name: str, arguments: argparse.Namespace) -> None:
    """Run the cells of one scenario; each is written when it is done."""
    folder = Path(tempfile.mkdtemp(prefix="cedarchute-bench-")) / "run"
    path = Path(arguments.folder) / f"bench-{name}.json"
    bench = Bench(load_scenario(name), folder, arguments.seconds, path)
    policies = arguments.policies.split(",")
    bench.capacity = parse_capacities(arguments.capacity).get(name, 0.0)
    loads = [float(load) for load in arguments.loads.split(",")]
    if not bench.capacity:
        with bench.start() as site:
            bench.measure_capacity(site, policies)
    bench.run_cells(loads, policies, 1)
    if not arguments.no_faults:
        for fault in FAULTS:
            with bench.start() as site:
                bench.run_cell(site, OURS, 0.8, 1, fault)
    for seed in range(2, arguments.seeds + 1):
        bench.run_cells(loads, policies, seed)


def parse_capacities(text: str) -> dict[str, float]:
    """Read ``NAME=PROGRAMS_A_SECOND,...``; nothing means that they are measured."""
    pairs = [pair.partition("=") for pair in text.split(",") if pair]
    return {name: float(value) for name, _, value in pairs}


def run_all(arguments: argparse.Namespace) -> None:
    """Run every scenario."""
    names = arguments.scenarios.split(",")
    # One process a scenario: their threads must not share one interpreter lock.
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(names), context) as pool:
        list(pool.map(run_scenario, names, [arguments] * len(names)))


def read_cells(folder: Path, names: Sequence[str]) -> list[dict[str, Any]]:
    """Return the cells of all scenarios that were written."""
    documents = [json.loads((folder / f"bench-{n}.json").read_text()) for n in names]
    return [cell for document in documents for cell in document["cells"]]


def main() -> None:
    """Run the scenarios and write the figures."""
    exit_on_signals()
    parser = argparse.ArgumentParser()
    parser.add_argument("--scenarios", default="vanua,shrestha")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--loads", default="0.5,0.8,1.0,1.2")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument(
        "--capacity", default="", help="NAME=PROGRAMS_A_SECOND,...; empty: measured"
    )
    parser.add_argument(
        "--report_only", action="store_true", help="make the page from the figures"
    )
    parser.add_argument("--no_faults", action="store_true")
    parser.add_argument("--folder", default=str(FIGURES), help="for the figures")
    arguments = parser.parse_args()
    folder = Path(arguments.folder)
    folder.mkdir(parents=True, exist_ok=True)
    if not arguments.report_only:
        run_all(arguments)
    write_report(read_cells(folder, arguments.scenarios.split(",")), folder)
    if folder == FIGURES:
        for name in ("bench", "bench-ratios"):
            replace_marked(PAGE, name, (FIGURES / f"{name}.md").read_text().strip())


if __name__ == "__main__":
    main()
