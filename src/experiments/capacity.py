"""Makes the tables of docs/CAPACITY.md from the measured slopes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from experiments import two_year_plan as plan
from experiments.marked_page import replace_marked

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT: Final = Path(__file__).parents[2]
PAGE: Final = ROOT / "docs" / "CAPACITY.md"
FIGURES: Final = ROOT / "docs" / "figures" / "slopes.json"
MEGA: Final = 1e6
DAY_SECONDS: Final = 86_400


class Capacity:
    """The figures of one node at the two-year size."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document
        self.slopes: dict[str, Any] = document["slopes"]
        self.requests = plan.REQUESTS / plan.NODES
        self.tokens = plan.TOKENS / plan.NODES
        self.programs = plan.PROGRAMS / plan.NODES

    def slope(self, name: str) -> float:
        """Return a slope."""
        return float(self.slopes[name]["slope"])

    def at(self, name: str, x: float) -> float:
        """Return the value of a line at `x`."""
        fit = self.slopes[name]
        return float(fit["slope"]) * x + float(fit["base"])

    def at_least(self, name: str, x: float) -> float:
        """Return the value of a line at `x`, not below what was ever measured.

        For a figure that falls at first: no line carries that on.
        """
        least = min(point[1] for point in self.slopes[name]["points"])
        return max(self.at(name, x), float(least))

    def history_bytes(self, share: float) -> float:
        """Return the history of a node's programs, at a share of the longest."""
        each = plan.HISTORY_TOKENS * plan.BYTES_A_TOKEN * share
        return self.programs * each

    def slope_rows(self) -> list[list[str]]:
        """Return the measured slopes."""
        rows = []
        for name, fit in sorted(self.slopes.items()):
            rows.append(
                [
                    name,
                    f"{fit['figure']} per {fit['quantity']}",
                    f"{fit['slope']:.4g}",
                    f"{fit['slope_least']:.4g} to {fit['slope_most']:.4g}",
                    f"{fit['base']:.4g}",
                    str(len(fit["points"])),
                ]
            )
        return rows

    def role_rows(self) -> list[list[str]]:
        """Return processor time and memory of each role on one node."""
        low, high = plan.HISTORY_SHARES
        rows = []

        def add(role: str, cores: float, memory: str, mechanism: str) -> None:
            rows.append([role, f"{cores:.2f}", memory, mechanism])

        entry = self.requests * self.slope("request_entry")
        entry += self.tokens * self.slope("token_entry")
        add(
            "entry (callers at any box)", entry, "in flight only", "one hop to the home"
        )
        home = self.requests * self.slope("request_home")
        home += self.tokens * self.slope("token_home")
        records = self.programs * self.slope("program_home")
        for role, name, mechanism in (
            ("home, just called", "history_home", "one log a program"),
            ("home, idle in between", "history_home_idle", "the same, packed"),
        ):
            texts = [self.history_bytes(s) * self.slope(name) for s in (low, high)]
            memory = format_range(records + texts[0], records + texts[1])
            add(role, home, memory, mechanism)
        holder = plan.COPIES * self.requests * self.slope("request_holder")
        kept = [
            plan.COPIES
            * (
                self.programs * self.slope("program_holder")
                + self.history_bytes(s) * self.slope("history_holder_memory")
            )
            for s in (low, high)
        ]
        add(
            "holder of copies, in memory",
            holder,
            format_range(kept[0], kept[1]),
            "compressed records, batches a peer",
        )
        disk = [
            plan.COPIES
            * (
                self.programs * self.slope("program_holder")
                + self.history_bytes(s) * self.slope("history_holder_disk")
            )
            for s in (low, high)
        ]
        add(
            "holder of copies, on disk",
            holder,
            format_range(disk[0], disk[1]),
            "journal with a shared sync; memory keeps offsets",
        )
        return rows

    def control_rows(self) -> list[list[str]]:
        """Return the control part of one node and its sum."""
        peers = plan.NODES
        polls = plan.POLLS_A_SECOND
        changes = plan.CHANGES_A_DAY / DAY_SECONDS
        # A loan costs the box that asks and its keeper about a poll each.
        loans = 2 * plan.LOANS_A_SECOND
        targets = plan.RUNNERS
        cpu_file = changes * self.at("file_cpu", targets)
        bytes_file = changes * self.at("file_size", targets) * 2
        parts = [
            (
                "membership, leases, heartbeats",
                self.at("control_cpu_peers", peers),
                self.at("control_memory_peers", peers),
                self.at_least("control_bytes_peers", peers),
            ),
            (
                f"load reports of {plan.POLLED_TARGETS:.0f} targets, "
                f"each {plan.LOAD_SECONDS:g} s",
                self.slope("control_cpu_polls") * polls,
                self.slope("control_memory_polls") * polls,
                self.slope("control_bytes_polls") * polls,
            ),
            (
                "configuration, 660 changes a day",
                cpu_file,
                self.slope("file_memory") * targets,
                bytes_file,
            ),
            (
                f"limits of workspaces, {plan.LOANS_A_SECOND:g} loans a second",
                self.slope("control_cpu_polls") * loans,
                0.0,
                self.slope("control_bytes_polls") * loans,
            ),
        ]
        rows = [
            [name, f"{cpu:.2%}", f"{memory / MEGA:.1f} MB", f"{sent / 1000:.2f} KB/s"]
            for name, cpu, memory, sent in parts
        ]
        totals = [sum(part[index] for part in parts) for index in (1, 2, 3)]
        rows.append(
            [
                "**sum**",
                f"**{totals[0]:.2%}**",
                f"**{totals[1] / MEGA:.1f} MB**",
                f"**{totals[2] / 1000:.2f} KB/s**",
            ]
        )
        rows.append(
            [
                "allowed",
                f"{plan.CONTROL_CORES:.2%}",
                f"{plan.CONTROL_BYTES / MEGA:.1f} MB",
                f"{plan.CONTROL_BYTES_A_SECOND / 1000:.2f} KB/s",
            ]
        )
        return rows

    def store_rows(self) -> list[list[str]]:
        """Return the calls of the store, at rest and when much happens at once."""
        rest = self.at("store_calls", plan.NODES)
        renewals = plan.NODES * 3 / plan.LEASE_SECONDS
        day = plan.FAILURES_A_DAY + plan.RESTARTS_A_DAY
        in_domain = plan.NODES / plan.DOMAINS
        domain_writes = in_domain * (1 + 1 + 3)
        start_writes, start_reads = 5, 5
        all_writes = plan.NODES * (start_writes + 2)
        return [
            [
                "at rest",
                f"{renewals:.0f} renewals/s in {rest:.0f} calls/s",
                f"{plan.NODES} waiting watches",
            ],
            [
                "an ordinary day besides",
                f"{day * (start_writes + 2 + 3) / DAY_SECONDS:.3f} writes/s",
                f"{day * start_reads / DAY_SECONDS:.3f} reads/s",
            ],
            [
                "660 changes a day",
                f"{plan.CHANGES_A_DAY / DAY_SECONDS:.4f} writes/s",
                f"each wakes {plan.NODES} watches",
            ],
            [
                "a failure domain dies",
                f"{domain_writes:.0f} writes, "
                f"{domain_writes / plan.STORE_WRITES:.1f} s "
                f"at {plan.STORE_WRITES:.0f}/s",
                "few",
            ],
            [
                "all boxes restart at once",
                f"{all_writes:.0f} writes, {all_writes / plan.STORE_WRITES:.0f} s "
                f"at {plan.STORE_WRITES:.0f}/s",
                f"{plan.NODES * start_reads} reads, "
                f"{plan.NODES * start_reads / plan.STORE_READS:.1f} s",
            ],
        ]

    def failure_rows(self) -> list[list[str]]:
        """Return what moves when something is lost."""
        low, _ = plan.HISTORY_SHARES
        each = self.history_bytes(low)
        wait = self.at("takeover", self.programs)
        rack = 20
        in_domain = plan.NODES / plan.DOMAINS
        rows = []
        for name, boxes in (
            ("a box (20 a day)", 1.0),
            ("a rack (every month or two)", float(rack)),
            ("a failure domain (a few times a year)", in_domain),
        ):
            moved = self.programs * boxes
            # A lost box was home of one partition and holder of two others'.
            copied = each * boxes * (1 + plan.COPIES)
            rows.append(
                [
                    name,
                    f"{moved:,.0f} programs",
                    f"{wait:.1f} s",
                    f"{copied / MEGA:,.0f} MB",
                ]
            )
        rows.append(
            [
                "a region's link, for an hour",
                "none: copies and homes are of one region",
                "0 s within a region",
                "0 MB",
            ]
        )
        return rows


def format_range(low: float, high: float) -> str:
    """Return a range of bytes in megabytes."""
    return f"{low / MEGA:,.0f} to {high / MEGA:,.0f} MB"


def format_table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [f"| {' | '.join(heads)} |", f"| {' | '.join('---' for _ in heads)} |"]
    lines += [f"| {' | '.join(row)} |" for row in rows]
    return "\n".join(lines)


def main() -> None:
    """Write every table of the page."""
    capacity = Capacity(json.loads(FIGURES.read_text()))
    tables = {
        "slopes": format_table(
            ["Slope", "Unit", "Slope", "Over the runs", "Base", "Points"],
            capacity.slope_rows(),
        ),
        "roles": format_table(
            ["Role", "Cores a node", "Memory a node", "Mechanism"],
            capacity.role_rows(),
        ),
        "control": format_table(
            ["Part", "Core", "Memory", "Sent and received"], capacity.control_rows()
        ),
        "store": format_table(
            ["When", "Writes", "Reads and watches"], capacity.store_rows()
        ),
        "failures": format_table(
            ["Lost", "Moves", "Programs wait", "Copied again"], capacity.failure_rows()
        ),
    }
    for name, table in tables.items():
        replace_marked(PAGE, name, table)
        print(f"\n{table}")


if __name__ == "__main__":
    main()
