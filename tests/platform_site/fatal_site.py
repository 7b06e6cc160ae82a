"""Entries before targets that end under fatal requests, and callers of those."""

from __future__ import annotations

import contextlib
import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from conftest_nodes import ROUTES, wait_known

from experiments.node_site import NodeSite
from experiments.raw_caller import RawCaller, build_request, call
from standins.ending import Ending
from standins.mortal_target import MortalTarget
from standins.raw_target import answer

FATAL = b"fatal"
# After as many targets have ended under a request, it is sent to no other one.
ENDS_ALLOWED = 3
ENTRIES = 4
# Attempts that a caller makes for one request.
ATTEMPTS = 3
RUN_SECONDS = 0.02


def respond(request, connection):
    connection.sendall(answer(request))


def respond_later(request, connection):
    time.sleep(RUN_SECONDS)
    connection.sendall(answer(request))


def is_fatal(request):
    return FATAL in request.body


@contextlib.contextmanager
def start_entries(folder, routes=ROUTES):
    """Start entries in two failure domains, without holders."""
    with NodeSite(folder) as site:
        site.start_store()
        for number in range(ENTRIES):
            site.start_entry(f"entry-{number}", "ab"[number % 2])
        site.configure(routes)
        site.wait_ready()
        end_starts(site)
        yield site


def end_starts(site):
    """Have each entry take a call: boxes ask others what they know at their first."""
    for name, address in site.callers.items():
        assert call(address, b"/again/x", f"first-{name}".encode())[0] == 503


def add_targets(site, count, service="plain", script=respond, **options):
    targets = [MortalTarget(script, is_fatal, **options) for _ in range(count)]
    for number, target in enumerate(targets):
        target.id = f"m-{service}-{number}"
        site.add_target(target.id, service, target.address)
    wait_known(site, targets)
    return targets


def send_attempts(site, body, count, path=b"/again/x", **options):
    """Send a request as its caller may: each attempt anew, at the next entry."""
    entries = itertools.cycle(site.callers.values())
    attempts = [(next(entries), f"{body.decode()}-{n}".encode()) for n in range(count)]
    return [
        call(entry, path, call_id, body, **options)[0] for entry, call_id in attempts
    ]


def send_and_leave(entry, path, call_id, body, seconds):
    """Send a request and close the connection after a while."""
    with RawCaller(entry) as caller:
        caller.send(build_request(path, call_id, body))
        time.sleep(seconds)


def list_sends(targets):
    """Return the fatal requests that reached targets, not those that got 421."""
    return [
        request
        for target in targets
        for request in target.requests
        if is_fatal(request) and not is_misdirected(request, target)
    ]


def is_misdirected(request, target):
    if target.ending is not Ending.REBORN or target.ended_at is None:
        return False
    return request.read_at > target.ended_at


def count_sends(targets):
    return len(list_sends(targets))


def count_late_sends(targets):
    """Return how many fatal requests reached a target after the third end."""
    ends = sorted(t.ended_at for t in targets if t.ended_at is not None)
    if len(ends) < ENDS_ALLOWED:
        return 0
    third = ends[ENDS_ALLOWED - 1]
    return sum(request.read_at > third for request in list_sends(targets))


def ask_until_answered(site, name, body, is_over):
    """Send the same request until `is_over`; return the statuses that ended each."""
    entries = itertools.cycle(site.callers.values())
    results = []
    while not is_over.is_set():
        for attempt in range(ATTEMPTS):
            call_id = f"{name}-{len(results)}-{attempt}".encode()
            status = call(next(entries), b"/again/x", call_id, body)[0]
            if status == 200:
                break
        results.append(status)
    return results


def ask_beside(site, bodies, what):
    """Send each body over and over from a caller of its own while `what` happens."""
    is_over = threading.Event()
    with ThreadPoolExecutor(len(bodies)) as pool:
        tasks = [
            pool.submit(ask_until_answered, site, f"c{number}", body, is_over)
            for number, body in enumerate(bodies)
        ]
        try:
            what()
        finally:
            is_over.set()
        return [status for task in tasks for status in task.result()]


def read_logs(site):
    return "".join(site.processes[name].read_log() for name in site.callers)
