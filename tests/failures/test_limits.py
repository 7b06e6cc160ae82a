from __future__ import annotations

from support import open_at

from cedarchute.membership.box_ring import BoxRing


def apply_limit(site, revision):
    text = site.site_text().replace("calls_per_second = 10000", "calls_per_second = 4")
    assert site.apply(text, f"limit-{revision}", revision).status == 200
    site.wait_in_force(revision + 1)


def run_calls(site, program, caller, count, prefix):
    for number in range(count):
        reply = caller.call(
            program, f"{prefix}{number}", service="transfer", body={"seconds": 0}
        )
        assert reply.document["verdict"] == "ran", reply.document


def test_a_busy_box_borrows_and_goes_on_when_the_keeper_is_lost(broken_site):
    keeper = BoxRing(broken_site.peers).find_owner("members")
    home = next(name for name in broken_site.peers if name != keeper)
    program, caller = open_at(broken_site, home)
    apply_limit(broken_site, 1)
    run_calls(broken_site, program, caller, 12, "before")
    assert broken_site.counter(home, "limits.borrowed") > 0
    broken_site.processes[keeper].kill()
    run_calls(broken_site, program, caller, 12, "after")
    keys = [call["key"] for call in caller.show(program)["calls"]]
    assert len(keys) == len(set(keys)) == 24
