"""Where a caller stands in a stream, by the ids of its events."""

from __future__ import annotations

import pytest

from cedarchute.calls.stream_position import MAX_DIGITS, StreamPosition
from standins.raw_target import event


def follow(*events):
    position = StreamPosition()
    for part in events:
        position.advance(part)
    return position


def test_the_position_is_the_id_of_the_last_event():
    assert follow().last_event_id == b""
    assert follow(event(0, b"a"), event(4, b"b")).last_event_id == b"4"
    assert follow(b"id:7\r\ndata: a\r\n\r\n").last_event_id == b"7"
    assert follow(b"version: 2\nid: 8\ndata: a\n\n").last_event_id == b"8"


def test_a_comment_does_not_move_the_position():
    assert follow(event(3, b"a"), b": alive\n\n").last_event_id == b"3"


@pytest.mark.parametrize(
    "odd",
    [
        event(3, b"again"),
        event(2, b"back"),
        b"data: no id\n\n",
        b"id: x3\ndata: a\n\n",
        b"id: -4\ndata: a\n\n",
        b"id:\ndata: a\n\n",
        b"id: %s\ndata: a\n\n" % (b"9" * (MAX_DIGITS + 1)),
        "id: \N{SUPERSCRIPT TWO}\ndata: a\n\n".encode(),
    ],
)
def test_after_an_event_whose_id_does_not_rise_the_position_is_unknown(odd):
    position = follow(event(3, b"a"))
    assert not position.follows(odd)
    position.advance(odd)
    position.advance(event(9, b"b"))
    assert position.last_event_id == b""


def test_a_larger_id_follows_also_with_more_digits():
    position = follow(event(9, b"a"))
    assert position.follows(event(10, b"b"))
    assert not position.follows(event(9, b"b"))
    assert position.follows(b": alive\n\n")
