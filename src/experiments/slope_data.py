"""Slopes of the data part: requests, tokens, programs, history."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

import numpy as np

from cedarchute.programs.compression_limits import (
    COMPRESS_AFTER_IDLE_SECONDS,
    MAX_COMPRESSED_CHARACTERS,
)
from experiments.caller import Caller, StreamResult, take_event
from experiments.repeated_load import RepeatedLoad
from experiments.slope_site import SETTLE_SECONDS, Slopes, measure_cpu, start_small

if TYPE_CHECKING:
    from collections.abc import Iterator

    from experiments.local_site import LocalSite

# The plan's mean answer: 4.4 million tokens over 13,000 requests.
ANSWER_TOKENS: Final = 338


def measure_requests(slopes: Slopes) -> None:
    """Small plain calls: at the home, through another entry, at a holder."""
    with slopes.site() as site:
        start_small(site)
        home, entry = site.callers["box-0"], site.callers["box-1"]
        for via, address in (("home", home), ("entry", entry)):
            for rate in (40, 80, 120, 160):
                callers = [Caller([address], seed=n) for n in range(8)]
                for caller in callers:
                    caller.keep_until = float("inf")
                    caller.entries = [address]
                programs = [caller.open_here(home) for caller in callers]
                numbers = iter(range(10**9))

                def work(number: int) -> None:
                    callers[number].call(  # noqa: B023
                        programs[number],  # noqa: B023
                        f"{via}{rate}-{next(numbers)}",  # noqa: B023
                        service="balance",
                        body={"n": 1},
                    )

                with RepeatedLoad(work, 8, rate) as load:
                    time.sleep(SETTLE_SECONDS)
                    before, started = load.count, time.monotonic()
                    cpu = measure_cpu(site, "box-0", "box-1", "box-2")
                    done = (load.count - before) / (time.monotonic() - started)
                if via == "home":
                    slopes.add("request_home", "requests/s", "cores", done, cpu[0])
                    slopes.add("request_holder", "requests/s", "cores", done, cpu[2])
                else:
                    slopes.add("request_entry", "requests/s", "cores", done, cpu[1])


def measure_tokens(slopes: Slopes) -> None:
    """Streams: cost of a token event at the home and at another entry."""
    with slopes.site() as site:
        start_small(site)
        home, entry = site.callers["box-0"], site.callers["box-1"]
        for via, address in (("home", home), ("entry", entry)):
            for streams in (8, 16, 32, 48):
                tokens = [0]
                lock = threading.Lock()
                numbers = iter(range(10**9))

                def work(number: int) -> None:
                    caller = Caller([address], seed=number)  # noqa: B023
                    program = caller.open_here(home)
                    request = {
                        "service": "agent",
                        "messages": [{"role": "user", "content": "Hi"}],
                        "max_tokens": ANSWER_TOKENS,
                    }
                    headers = {"Idempotency-Key": f"{next(numbers)}"}  # noqa: B023
                    for event in caller.open_stream(
                        address,  # noqa: B023
                        program,
                        headers,
                        request,
                    ):
                        result = StreamResult()
                        take_event(result, event)
                        with lock:  # noqa: B023
                            tokens[0] += len(result.text) // 4  # noqa: B023

                with RepeatedLoad(work, streams, 10**6):
                    time.sleep(SETTLE_SECONDS * 2)
                    before, started = tokens[0], time.monotonic()
                    cpu = measure_cpu(site, "box-0", "box-1")
                    rate = (tokens[0] - before) / (time.monotonic() - started)
                cores = cpu[0] if via == "home" else cpu[1]
                slopes.add(f"token_{via}", "tokens/s", "cores", rate, cores)


def measure_programs(slopes: Slopes) -> None:
    """Memory of programs without history, at the home and at a holder."""
    with slopes.site() as site:
        start_small(site, engines=1)
        caller = Caller([site.callers["box-0"]])
        opened = 0
        for count in (0, 400, 800, 1600):
            while opened < count:
                caller.open_here(site.callers["box-0"])
                opened += 1
            time.sleep(SETTLE_SECONDS)
            for role, box in (("home", "box-0"), ("holder", "box-2")):
                memory = site.processes[box].memory_bytes
                slopes.add(f"program_{role}", "programs", "bytes", count, memory)


def start_history(site: LocalSite) -> None:
    """Start a home, a holder in memory and a holder on disk."""
    folder = site.folder / "data"
    folder.mkdir()
    site.services = {"balance": {"kind": "plain"}}
    site.start_store()
    site.start_service("balance-1", "balance", "domain-0")
    site.start_box("box-0", "domain-0")
    site.start_box("box-1", "domain-1")
    site.start_box("box-2", "domain-2", data_folder=str(folder))
    site.wait_targets()
    site.wait_boxes()
    assert site.apply(site.site_text()).status == 200
    site.wait_in_force(1)
    site.wait_held()


def grow_history(site: LocalSite) -> Iterator[int]:
    """Let one program's history grow; yield its length in bytes at each point."""
    caller = Caller([site.callers["box-0"]])
    program = caller.open_here(site.callers["box-0"])
    words = np.random.default_rng(7).integers(0, 5000, 40_000)
    text = " ".join(f"w{word}" for word in words)
    sent = 0
    for megabytes in (0, 4, 8, 16):
        while sent < megabytes * 1_000_000:
            body = text[:125_000] + str(sent)
            caller.call(program, f"k{sent}", service="balance", body=body)
            # The stand-in answers with the body: twice the text is kept.
            sent += 2 * len(body)
        yield sent


def measure_history(slopes: Slopes) -> None:
    """Memory of history, at the home, at a holder in memory and one on disk."""
    with slopes.site() as site:
        start_history(site)
        for sent in grow_history(site):
            time.sleep(SETTLE_SECONDS)
            for role, box in (
                ("home", "box-0"),
                ("holder_memory", "box-1"),
                ("holder_disk", "box-2"),
            ):
                memory = site.processes[box].memory_bytes
                slopes.add(f"history_{role}", "bytes of history", "bytes", sent, memory)


def measure_idle_history(slopes: Slopes) -> None:
    """Memory of history at the home, once it is packed."""
    with slopes.site() as site:
        start_history(site)
        for sent in grow_history(site):
            time.sleep(
                COMPRESS_AFTER_IDLE_SECONDS
                + sent / MAX_COMPRESSED_CHARACTERS * 1.2
                + 1.0
            )
            memory = site.processes["box-0"].memory_bytes
            slopes.add("history_home_idle", "bytes of history", "bytes", sent, memory)
