"""The figures of one cell of the comparison of policies."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, Final

import numpy as np
from hdrh.histogram import HdrHistogram

from cedarchute.scheduling.pinned_prefix_key import is_pinned_prefix_key

if TYPE_CHECKING:
    from experiments.load_run import LoadResult
    from experiments.local_site import LocalSite

HISTOGRAM_MOST: Final = 600_000
BLOCK_TOKENS: Final = 16


def read_counts(site: LocalSite) -> dict[str, dict[str, int]]:
    """Return the counters of every engine that runs."""
    return {
        name: site.http.get(site.target_address(name), "/counts")
        for name in site.targets
        if site.processes[name].is_running
    }


def summarise(result: LoadResult, seconds: float) -> dict[str, Any]:
    """Return the figures of the programs."""
    histogram = HdrHistogram(1, HISTOGRAM_MOST, 3)
    for latency in result.latencies:
        histogram.record_value(max(1, int(latency * 1000)))
    in_time = [at for at in result.finished_at if at <= seconds]
    return {
        "finished": len(result.latencies),
        "p50": histogram.get_value_at_percentile(50) / 1000,
        "p95": histogram.get_value_at_percentile(95) / 1000,
        "p99": histogram.get_value_at_percentile(99) / 1000,
        "slowdown_p50": float(np.percentile(result.slowdowns, 50)),
        "slowdown_p95": float(np.percentile(result.slowdowns, 95)),
        "goodput": len(in_time) / seconds,
        "refusals": dict(result.refusals),
        "lost": result.lost,
        "doubled": result.doubled,
        "out_of_order": result.out_of_order,
        "failed": len(result.failed),
        "failures": result.failed[:3],
        "unfinished": result.unfinished,
    }


def summarise_cache(
    site: LocalSite, before: dict[str, dict[str, int]]
) -> dict[str, Any]:
    """Return the figures of the engines' caches."""
    computed = 0
    distinct: set[str] = set()
    made: set[str] = set()
    held: Counter[str] = Counter()
    after = read_counts(site)
    for name, counts in after.items():
        earlier = before.get(name, {}).get("computed_tokens", 0)
        computed += counts.get("computed_tokens", 0) - earlier
        address = site.target_address(name)
        blocks = site.http.get(address, "/cache/seen")
        distinct.update(blocks["blocks"])
        made.update(blocks["made"])
        tokens = site.http.get(address, "/cache/held")["tokens"]
        for holder, count in tokens.items():
            held["shared" if is_pinned_prefix_key(holder) else "programs"] += count
    needed = len(distinct - made) * BLOCK_TOKENS
    again = max(0, computed - needed) / computed if computed else 0.0
    return {
        "computed_tokens": computed,
        "computed_again": again,
        "held_after": held["programs"],
        "held_shared": held["shared"],
    }
