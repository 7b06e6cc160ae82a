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
    truncate_messages,
)
from cedarchute.scheduling.target_state import TargetState
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict

SHARED_TEXT = "chapter " * 100
TARGET = TargetState(
    "t0",
    TargetSection(service="s", address="127.0.0.1:9000", failure_domain="a"),
)


class FakeEngineClient:
    """Fake engine client that records requests and fails while it is busy."""

    def __init__(self):
        self.requests = []
        self.is_busy = False

    def generate(self, address, request, seconds):
        if self.is_busy:
            raise TargetError("target_busy", "503", Verdict.NOT_RUN)
        self.requests.append(request)
        yield from ()


class Harness:
    def __init__(self, seconds=30):
        self.clock = StillClock()
        self.engines = FakeEngineClient()
        self.index = PrefixIndex(self.clock)
        self.metrics = Metrics()
        self.pinner = PrefixPinner(
            self.engines, self.index, lambda: seconds, self.clock, self.metrics
        )

    def finish_call(self, program, text=SHARED_TEXT):
        messages = [ChatMessage(role="user", content=f"{text}{program}" * 3)]
        prefixes = digest_prefixes(m.content for m in messages)
        self.index.record_prompt(prefixes, program, "t0")
        self.pinner.on_call_finished(TARGET, "small", prefixes, lambda: messages)
        eventlet.sleep(0)


def test_what_programs_share_is_held_once_in_a_span():
    harness = Harness()
    harness.finish_call("p1")
    assert harness.engines.requests == []
    for program in ("p2", "p3", "p4"):
        harness.finish_call(program)
    (request,) = harness.engines.requests
    assert is_pinned_prefix_key(request.program)
    assert request.max_tokens == 1
    assert len(request.messages[0].content) <= len(SHARED_TEXT)
    assert SHARED_TEXT.startswith(request.messages[0].content)
    harness.clock.now += 30
    harness.finish_call("p5")
    assert len(harness.engines.requests) == 2


def test_boxes_make_the_same_name_without_a_word():
    names = set()
    for box in range(3):
        harness = Harness()
        harness.finish_call(f"a{box}")
        harness.finish_call(f"b{box}")
        names.update(request.program for request in harness.engines.requests)
    assert len(names) == 1


def test_a_hold_that_failed_is_tried_again_but_not_with_each_call():
    harness = Harness()
    harness.engines.is_busy = True
    for program in ("p1", "p2", "p3", "p4"):
        harness.finish_call(program)
    assert harness.metrics.totals["shared.failed"] == 1
    harness.engines.is_busy = False
    harness.clock.now += RETRY_SECONDS
    harness.finish_call("p5")
    assert len(harness.engines.requests) == 1


def test_short_beginnings_are_not_held_and_zero_holds_nothing():
    harness = Harness()
    for program in ("p1", "p2", "p3"):
        harness.finish_call(program, text="short ")
    assert harness.engines.requests == []
    harness = Harness(seconds=0)
    for program in ("p1", "p2", "p3"):
        harness.finish_call(program)
    assert harness.engines.requests == []


def test_a_name_is_over_after_the_span_and_the_next():
    harness = Harness()
    harness.finish_call("p1")
    harness.finish_call("p2")
    name = harness.engines.requests[0].program
    assert not is_pinned_prefix_expired(name, harness.clock.now + 29)
    assert is_pinned_prefix_expired(name, harness.clock.now + 61)
    assert is_pinned_prefix_expired("shared.nonsense", harness.clock.now)


def test_messages_are_cut_at_a_number_of_characters():
    messages = [
        ChatMessage(role="system", content="abc"),
        ChatMessage(role="user", content="defgh"),
    ]
    truncated = truncate_messages(messages, 6)
    assert [m.content for m in truncated] == ["abc", "de"]
    assert [m.role for m in truncated] == ["system", "user"]
