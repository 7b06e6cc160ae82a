from __future__ import annotations

import random

from support import count_engine, make_messages

from experiments.caller import Caller
from experiments.waiting import wait_until


def read_held(site):
    """Return the names that engines hold cache for."""
    names = set()
    for name in ("engine-1", "engine-2"):
        held = site.http.get(site.target_address(name), "/cache/held")
        names.update(held["programs"])
    return names


def run_program(site, text):
    """Run a program of one call to its end."""
    caller = Caller([site.callers["box-1"]])
    program = caller.open_here(site.callers["box-1"])
    caller.call(
        program, "ask", service="agent", messages=make_messages(text), max_tokens=4
    )
    caller.end(program)
    wait_until(lambda: program not in read_held(site), "released")


def test_a_shared_text_outlives_its_programs_for_a_while_and_no_longer(broken_site):
    reply = broken_site.apply(broken_site.site_text(hold_shared_seconds=2), "hold", 1)
    assert reply.status == 200, reply.document
    broken_site.wait_in_force(2)
    generator = random.Random(1)
    text = " ".join(str(generator.randrange(1000)) for _ in range(600))
    for number in range(2):
        run_program(broken_site, f"{text} question {number}")
    wait_until(lambda: broken_site.counter("box-1", "shared.held"), "held")
    before = count_engine(broken_site, "cached_tokens")
    run_program(broken_site, f"{text} question again")
    # Both programs with the text had ended; it was still there for the third.
    assert count_engine(broken_site, "cached_tokens") - before > 400
    wait_until(lambda: not read_held(broken_site), "nothing is held any more")
