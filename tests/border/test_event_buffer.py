from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarchute.border.answers import (
    DONE_EVENT,
    make_delta_event,
    make_restart_event,
)
from cedarchute.border.event_buffer import EventBuffer

END_EVENT = b'data: {"choices": [{"finish_reason": "stop"}], "usage": {}}\n\n'
TEXTS = st.sampled_from(
    ["Hello", "paid: 3", "id: 0.2", "\n\nid: 0.2\n\n", "data: [DONE]"]
)


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.lists(TEXTS), st.lists(st.integers(0, 600)))
def test_a_stream_cut_anywhere_comes_out_in_whole_events(texts, cuts):
    events = [make_restart_event(1)]
    events += [make_delta_event(1, n, text) for n, text in enumerate(texts)]
    events.append(END_EVENT + DONE_EVENT)
    stream = b"".join(events)
    ends = {len(b"".join(events[:n])) for n in range(len(events) + 1)}
    buffer = EventBuffer()
    released = b""
    edges = [0, *sorted(cut for cut in cuts if cut < len(stream)), len(stream)]
    for start, end in zip(edges, edges[1:], strict=False):
        assert not buffer.is_complete
        released += buffer.feed(stream[start:end])
        assert len(released) in ends
        assert len(released) == max(e for e in ends if e <= end)
        given = [n for n in range(len(texts)) if len(b"".join(events[: n + 2])) <= end]
        assert buffer.offset == (given[-1] if given else 0)
    assert released == stream
    assert buffer.is_complete
