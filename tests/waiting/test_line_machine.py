"""The line under any series of arrivals, departures and free places."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from waiting.calls import make_call

from cedarchute.waiting.line_order import LineOrder
from cedarchute.waiting.line_refusal import RefusalReason
from cedarchute.waiting.sort_key import compute_sort_key

MAX_CALLS = 4
SERVICES = st.sampled_from(["a", "b"])


class LineMachine(RuleBasedStateMachine):
    """Keeps account of every call that entered."""

    def __init__(self):
        super().__init__()
        self.order = LineOrder(MAX_CALLS)
        self.now = 0.0
        self.waiting = []

    @rule(
        service=SERVICES,
        workspace_rank=st.integers(0, 2),
        route_rank=st.integers(0, 2),
        is_under_way=st.booleans(),
        slack_seconds=st.none() | st.floats(-1, 9),
        max_wait=st.floats(0, 3),
    )
    def enter(self, max_wait, **fields):
        call = make_call(self.now, max_wait, **fields)
        self.waiting.append(call)
        self.take_out(self.order.enter(call, self.now))

    @rule(seconds=st.floats(0.001, 2))
    def pass_time(self, seconds):
        self.now += seconds
        for service in ("a", "b"):
            self.take_out(self.order.refuse_late(service, self.now))

    @rule(service=SERVICES)
    def free_place(self, service):
        call = self.order.take_next(service, self.now)
        own = [each for each in self.waiting if each.service == service]
        if not own:
            assert call is None
            return
        least = min(compute_sort_key(each, self.now) for each in own)
        assert compute_sort_key(call, self.now) == least
        self.forget(call)
        self.order.record_placed(call, True, self.now)

    @rule(number=st.integers(0, MAX_CALLS - 1))
    def leave(self, number):
        if number < len(self.waiting):
            call = self.waiting[number]
            self.order.leave(call, self.now)
            self.forget(call)

    def take_out(self, refusals):
        for refusal in refusals:
            self.forget(refusal.call)
            left = refusal.call.deadline - self.now
            assert 0 <= refusal.retry_after_seconds <= max(0.0, left) / 3 + 1e-9
            if refusal.reason is RefusalReason.LINE_FULL:
                key = compute_sort_key(refusal.call, self.now)
                assert all(key >= compute_sort_key(c, self.now) for c in self.waiting)

    def forget(self, call):
        assert sum(1 for each in self.waiting if each is call) == 1
        self.waiting = [each for each in self.waiting if each is not call]

    @invariant()
    def line_is_bounded_and_accounts_for_each_call(self):
        assert len(self.order.waiting) <= MAX_CALLS
        assert {id(c) for c in self.order.waiting} == {id(c) for c in self.waiting}

    @invariant()
    def nobody_waits_beyond_the_latest_start(self):
        assert all(self.now < call.latest_start for call in self.waiting)


TestLine = LineMachine.TestCase
TestLine.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
