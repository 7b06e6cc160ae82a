from __future__ import annotations

from support import Background

from experiments.waiting import wait_until


def read_revision(site, name):
    status = site.box_status(name)
    return status["revision"] if status else -1


def test_an_accepted_file_is_in_force_everywhere(broken_site):
    text = broken_site.site_text(latency_weight=0.9)
    assert broken_site.apply(text, "second", 1).document["revision"] == 2
    broken_site.wait_in_force(2)
    status = broken_site.http.get(broken_site.peers["box-3"], "/operators/status")
    assert status["in_force"]
    assert status["accepted"] == 2


def test_a_lost_reply_is_settled_by_the_operation(broken_site):
    text = broken_site.site_text(latency_weight=0.9)
    broken_site.switch_store(lose_replies=1)
    first = broken_site.apply(text, "second", 1)
    assert first.document["revision"] == 2
    again = broken_site.apply(text, "second", 1)
    assert again.document == {
        "revision": 2,
        "operator": "driver",
        "already_applied": True,
    }
    assert read_revision(broken_site, "box-1") == 2


def test_of_two_racing_operators_one_wins_and_the_other_is_told_who(broken_site):
    text = broken_site.site_text(latency_weight=0.9)
    racing = [
        Background(broken_site.apply, text, f"race-{number}", 1) for number in range(6)
    ]
    replies = [race.get() for race in racing]
    won = [reply for reply in replies if reply.status == 200]
    lost = [reply for reply in replies if reply.status != 200]
    assert len(won) == 1
    assert all(reply.document["code"] == "apply_raced" for reply in lost)
    assert all("driver" in reply.document["detail"] for reply in lost)
    assert all(reply.document["verdict"] == "not run" for reply in lost)


def test_a_store_that_comes_back_older_reverts_nothing(broken_site):
    broken_site.switch_store(snapshot=True)
    text = broken_site.site_text(latency_weight=0.9)
    assert broken_site.apply(text, "second", 1).status == 200
    broken_site.wait_in_force(2)
    broken_site.switch_store(restore=True)
    wait_until(
        lambda: any(
            broken_site.counter(name, "configuration.store_repaired")
            for name in broken_site.callers
        ),
        "store repaired",
    )
    broken_site.start_box("box-5", "domain-a")
    broken_site.wait_boxes("box-5")
    assert all(read_revision(broken_site, name) == 2 for name in broken_site.peers)


def test_heartbeats_carry_a_file_to_a_box_that_cannot_reach_the_store(broken_site):
    broken_site.processes["box-4"].kill()
    text = broken_site.site_text(latency_weight=0.9)
    assert broken_site.apply(text, "second", 1).status == 200
    broken_site.wait_in_force(2, "box-1", "box-2", "box-3")
    broken_site.start_box("box-4", "domain-a")
    broken_site.wait_in_force(2, "box-4")


def test_a_broken_file_is_refused_with_file_section_key_and_mend(site):
    text = site.site_text() + "[target x]\nservice = nowhere\naddress = there\n"
    reply = site.apply(text, "broken", 1)
    assert reply.status == 422
    assert "[target x] address" in reply.document["detail"]
    assert "IP:PORT" in reply.document["detail"]
    assert "[target x] failure_domain: missing" in reply.document["detail"]
    assert read_revision(site, "box-1") == 1
