from __future__ import annotations

import eventlet
from fakes import StillClock

from cedarchute.metrics import Metrics
from cedarchute.operators.site_file import TargetSection
from cedarchute.programs.records import ChatMessage
from cedarchute.scheduling.pinned_prefix_key import (
    is_pinned_prefix_expired,
    is_pinned_prefix_key,
)
from cedarchute.scheduling.prefix_digests import digest_prefixes
from cedarchute.scheduling.prefix_index import PrefixIndex
from cedarchute.scheduling.prefix_pinner import (
    RETRY_SECONDS,
    PrefixPinner,
    cut_messages,
)
from cedarchute.scheduling.target_state import TargetState
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict

SHARED = "chapter " * 100
TARGET = TargetState(
    "t0",
    TargetSection(service="s", address="127.0.0.1:9000", failure_domain="a"),
)


class Engines:
    """Notes what is asked for; refuses as long as it is busy."""

    def __init__(self):
        self.asked = []
        self.is_busy = False

    def generate(self, address, request, seconds):
        if self.is_busy:
            raise TargetError("target_busy", "503", Verdict.NOT_RUN)
        self.asked.append(request)
        yield from ()


class World:
    def __init__(self, seconds=30):
        self.clock = StillClock()
        self.engines = Engines()
        self.index = PrefixIndex(self.clock)
        self.metrics = Metrics()
        self.holds = PrefixPinner(
            self.engines, self.index, lambda: seconds, self.clock, self.metrics
        )

    def finish(self, program, text=SHARED):
        messages = [ChatMessage(role="user", content=f"{text}{program}" * 3)]
        prefixes = digest_prefixes(m.content for m in messages)
        self.index.record_prompt(prefixes, program, "t0")
        self.holds.on_call_finished(TARGET, "small", prefixes, lambda: messages)
        eventlet.sleep(0)


def test_what_programs_share_is_held_once_in_a_span():
    world = World()
    world.finish("p1")
    assert world.engines.asked == []
    for program in ("p2", "p3", "p4"):
        world.finish(program)
    (request,) = world.engines.asked
    assert is_pinned_prefix_key(request.program)
    assert request.max_tokens == 1
    assert len(request.messages[0].content) <= len(SHARED)
    assert SHARED.startswith(request.messages[0].content)
    world.clock.now += 30
    world.finish("p5")
    assert len(world.engines.asked) == 2


def test_boxes_make_the_same_name_without_a_word():
    names = set()
    for box in range(3):
        world = World()
        world.finish(f"a{box}")
        world.finish(f"b{box}")
        names.update(request.program for request in world.engines.asked)
    assert len(names) == 1


def test_a_hold_that_failed_is_tried_again_but_not_with_each_call():
    world = World()
    world.engines.is_busy = True
    for program in ("p1", "p2", "p3", "p4"):
        world.finish(program)
    assert world.metrics.totals["shared.failed"] == 1
    world.engines.is_busy = False
    world.clock.now += RETRY_SECONDS
    world.finish("p5")
    assert len(world.engines.asked) == 1


def test_short_beginnings_are_not_held_and_zero_holds_nothing():
    world = World()
    for program in ("p1", "p2", "p3"):
        world.finish(program, text="short ")
    assert world.engines.asked == []
    world = World(seconds=0)
    for program in ("p1", "p2", "p3"):
        world.finish(program)
    assert world.engines.asked == []


def test_a_name_is_over_after_the_span_and_the_next():
    world = World()
    world.finish("p1")
    world.finish("p2")
    name = world.engines.asked[0].program
    assert not is_pinned_prefix_expired(name, world.clock.now + 29)
    assert is_pinned_prefix_expired(name, world.clock.now + 61)
    assert is_pinned_prefix_expired("shared.nonsense", world.clock.now)


def test_messages_are_cut_at_a_number_of_characters():
    messages = [
        ChatMessage(role="system", content="abc"),
        ChatMessage(role="user", content="defgh"),
    ]
    cut = cut_messages(messages, 6)
    assert [m.content for m in cut] == ["abc", "de"]
    assert [m.role for m in cut] == ["system", "user"]
