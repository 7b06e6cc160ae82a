"""What the tests share."""

from __future__ import annotations

import threading
from typing import Final

from experiments.caller import Caller
from experiments.local_site import LocalSite

DOMAINS: Final = ("domain-a", "domain-b", "domain-c")


def start_site(folder, boxes=3, linked=(), engine=None, **options):
    """Start a store, two engines, two plain services and some boxes.

    The boxes named in `linked` stand behind links that a test may cut; `engine` are
    further options of the engines.
    """
    site = LocalSite(folder, **options)
    site.services = {
        "agent": {"kind": "model", "model": "small"},
        "transfer": {"kind": "plain", "repeatable": "no", "timeout_seconds": "20"},
        "balance": {"kind": "plain"},
    }
    try:
        site.start_store()
        # They serve what the file wants from the start: nothing is to be ordered.
        served = {"model": "small", "version": "", **(engine or {})}
        site.start_engine("engine-1", "agent", DOMAINS[0], **served)
        site.start_engine("engine-2", "agent", DOMAINS[1], **served)
        site.start_service("transfer-1", "transfer", DOMAINS[0])
        site.start_service("balance-1", "balance", DOMAINS[1])
        for number in range(boxes):
            name, domain = f"box-{number + 1}", DOMAINS[number % len(DOMAINS)]
            start = site.start_linked_box if name in linked else site.start_box
            start(name, domain)
        site.wait_targets()
        if boxes == 0:
            return site
        site.wait_boxes()
        assert site.apply(site.site_text()).status == 200
        site.wait_in_force(1)
        site.wait_held()
    except BaseException:
        site.stop()
        raise
    return site


def make_messages(text):
    return [{"role": "user", "content": text}]


def open_at(site, box):
    """Open a program whose home is `box`; return it and a caller elsewhere."""
    program = Caller([site.callers[box]]).open_here(site.callers[box])
    others = [address for name, address in site.callers.items() if name != box]
    return program, Caller(others)


def count_ran(site, service, program, key):
    """Return how often a plain service ran a call."""
    ran = site.http.get(site.target_address(service), "/ran")["ran"]
    return ran.get(f"{program}:{key}", 0)


def count_engine(site, counter):
    """Return a counter, summed over the engines."""
    return sum(
        site.http.get(site.target_address(name), "/counts").get(counter, 0)
        for name, target in site.targets.items()
        if target.service == "agent" and site.processes[name].is_running
    )


class Background:
    """Runs a function in a thread and gives its result or its error."""

    def __init__(self, function, *arguments, **named):
        self.result = None
        self.error = None

        def run():
            try:
                self.result = function(*arguments, **named)
            except BaseException as error:
                self.error = error

        self.thread = threading.Thread(target=run, daemon=True)
        self.thread.start()

    def get(self, seconds=60):
        self.thread.join(seconds)
        assert not self.thread.is_alive(), "still running"
        if self.error is not None:
            raise self.error
        return self.result
