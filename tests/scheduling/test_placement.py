from __future__ import annotations

import random
from collections import Counter

from fakes import StillClock

from cedarchute.metrics import Metrics
from cedarchute.operators.site_file import TargetSection
from cedarchute.scheduling.placement import PlacementRequest
from cedarchute.scheduling.prefix_digests import digest_prefixes
from cedarchute.scheduling.prefix_index import PrefixIndex
from cedarchute.scheduling.program_aware import ProgramAware
from cedarchute.scheduling.sticky import Sticky
from cedarchute.scheduling.target_directory import TargetDirectory
from cedarchute.scheduling.target_state import TargetState
from cedarchute.targets.load_report import LoadReport


def make_target(number, running=0, waiting=0, waiting_tokens=0, importing=0.0):
    section = TargetSection(
        service="s", address=f"127.0.0.1:{9000 + number}", failure_domain="a"
    )
    report = LoadReport(
        running=running,
        waiting=waiting,
        max_running=8,
        waiting_tokens=waiting_tokens,
        import_tokens_per_second=importing,
    )
    return TargetState(f"t{number}", section, report=report, reported_at=1000.0)


def make_request(**fields):
    request = {"program": "p", "prompt_tokens": 4000, "max_tokens": 50}
    return PlacementRequest(**{**request, "failure_domain": "a", **fields})


def make_policy(weight=0.5, index=None):
    clock = StillClock()
    return ProgramAware(weight, index or PrefixIndex(clock), clock)


def test_a_program_stays_with_its_cache_while_the_queue_is_short():
    targets = [make_target(0, running=3), make_target(1)]
    request = make_request(cached_tokens={"t0": 3900})
    chosen = make_policy().choose(request, targets, random.Random(1))
    assert chosen.name == "t0"


def test_a_program_leaves_its_cache_when_the_queue_costs_more():
    targets = [make_target(0, running=8, waiting=40, waiting_tokens=90_000)]
    targets.append(make_target(1))
    request = make_request(cached_tokens={"t0": 3900})
    chosen = make_policy().choose(request, targets, random.Random(1))
    assert chosen.name == "t1"


def test_the_weight_moves_the_point_at_which_a_program_leaves():
    busy = make_target(0, running=8, waiting=1, waiting_tokens=9_000)
    # All that is there goes before the request.
    busy.priorities = [0] * 9
    request = make_request(cached_tokens={"t0": 3900})

    def choose(weight):
        policy = make_policy(weight)
        return policy.choose(request, [busy, make_target(1)], random.Random(1)).name

    assert (choose(1.0), choose(0.0)) == ("t1", "t0")


def test_many_boxes_with_one_late_report_do_not_rush_to_one_target():
    chosen = Counter()
    for seed in range(200):
        targets = [make_target(n, running=2) for n in range(12)]
        targets[0] = make_target(0, running=1)
        policy = make_policy()
        chosen[policy.choose(make_request(), targets, random.Random(seed)).name] += 1
    assert chosen["t0"] < 100
    assert len(chosen) == 12


def test_what_was_sent_since_the_report_counts():
    book = TargetDirectory("box", "region", 20, StillClock(), Metrics())
    first, second = make_target(0), make_target(1)
    policy = make_policy()
    chosen = []
    for seed in range(8):
        target = policy.choose(make_request(), [first, second], random.Random(seed))
        book.on_request_sent(target, 4000)
        chosen.append(target.name)
    assert Counter(chosen) == {"t0": 4, "t1": 4}


def test_a_failing_target_rests_and_is_then_tried_by_one_request():
    clock = StillClock()
    book = TargetDirectory("box", "region", 20, clock, Metrics())
    target = make_target(0)
    book.by_service["s"] = [target]
    book.on_request_sent(target, 1)
    book.on_request_failed(target, "target_unreachable")
    assert book.list_available("s", set()) == []
    clock.now += 60
    assert book.list_available("s", set()) == [target]
    book.on_request_sent(target, 1)
    assert book.list_available("s", set()) == []
    book.on_request_succeeded(target)
    assert book.list_available("s", set()) == [target]


def test_a_sticky_program_stays():
    targets = [make_target(0, running=8, waiting=50), make_target(1)]
    request = make_request(last_target="t0")
    assert Sticky().choose(request, targets, random.Random(1)).name == "t0"


def test_programs_that_share_a_beginning_meet_whichever_box_is_their_home():
    text = "chapter " * 400
    targets = [make_target(n) for n in range(6)]
    met = set()
    for box in range(5):
        index = PrefixIndex(StillClock())
        # This box has seen two programs with the text, on targets of its own.
        for number in range(2):
            digests = digest_prefixes([f"{text}question {number} of {box}"])
            index.record_prompt(digests, f"p{number}", f"t{box}")
        prefixes = digest_prefixes([f"{text}another question"])
        request = make_request(prompt_tokens=820, prefixes=prefixes)
        busy = [make_target(n, running=8) if n == box else targets[n] for n in range(6)]
        policy = make_policy(0.0, index)
        met.add(policy.choose(request, busy, random.Random(box)).name)
    assert len(met - {f"t{box}" for box in range(5)}) <= 1
    meeting = PrefixIndex(StillClock()).choose_meeting(prefixes, targets)
    assert meeting.name in met


def test_a_shared_beginning_is_worth_less_than_a_long_queue():
    text = "chapter " * 400
    index = PrefixIndex(StillClock())
    for number in range(2):
        digests = digest_prefixes([f"{text}{number}"])
        index.record_prompt(digests, f"p{number}", "t0")
    busy = make_target(0, running=8, waiting=60, waiting_tokens=90_000)
    request = make_request(prompt_tokens=820, prefixes=digest_prefixes([text]))
    policy = make_policy(0.5, index)
    chosen = policy.choose(request, [busy, make_target(1)], random.Random(1))
    assert chosen.name == "t1"


def test_while_requests_wait_everywhere_a_program_stays_for_longer():
    request = make_request(prompt_tokens=1000, cached_tokens={"t0": 900})

    def choose(waiting_elsewhere):
        targets = [make_target(0, running=8, waiting=9)]
        targets.append(make_target(1, running=8, waiting=waiting_elsewhere))
        targets += [make_target(n, running=8, waiting=8) for n in (2, 3)]
        for target in targets:
            target.answer_tokens = 40.0
        return make_policy(1.0).choose(request, targets, random.Random(1)).name

    assert choose(waiting_elsewhere=5) == "t0"
    assert choose(waiting_elsewhere=0) == "t0"
    idle = [make_target(0, running=8, waiting=9), make_target(1)]
    assert make_policy(1.0).choose(request, idle, random.Random(1)).name == "t1"


def test_an_old_program_stays_where_only_young_ones_wait():
    target = make_target(0, running=8, waiting=6)
    target.priorities = [100] * 14
    request = {"cached_tokens": {"t0": 3800}}

    def choose(priority):
        asked = make_request(priority=priority, max_tokens=200, **request)
        return make_policy(1.0).choose(
            asked, [target, make_target(1)], random.Random(1)
        )

    assert choose(1).name == "t0"
    assert choose(200).name == "t1"


def test_a_new_program_leaves_a_crowded_target_for_a_short_beginning():
    index = PrefixIndex(StillClock())
    text = "greeting " * 64
    for number in range(2):
        index.record_prompt(digest_prefixes([f"{text}{number}"]), f"p{number}", "t9")
    prefixes = digest_prefixes([text])
    request = make_request(prompt_tokens=200, prefixes=prefixes)
    policy = make_policy(1.0, index)
    targets = [make_target(0), make_target(1)]
    meeting = index.choose_meeting(prefixes, targets)
    (other,) = (target for target in targets if target is not meeting)

    def choose(running):
        meeting.report = meeting.report.model_copy(update={"running": running})
        return policy.choose(request, targets, random.Random(1))

    other.report = other.report.model_copy(update={"running": 1})
    assert choose(2) is meeting
    assert choose(8) is other


def test_a_program_leaves_sooner_when_its_cache_can_move():
    request = make_request(cached_tokens={"t0": 3900})

    def choose(importing):
        targets = [make_target(n, importing=importing) for n in range(2)]
        targets[0] = make_target(0, running=8, waiting=16, importing=importing)
        targets[0].answer_tokens = 50.0
        return make_policy(1.0).choose(request, targets, random.Random(1)).name

    assert choose(0.0) == "t0"
    assert choose(200_000.0) == "t1"
    assert choose(1_000.0) == "t0"
