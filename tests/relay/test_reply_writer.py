"""The writes of a whole response."""

from __future__ import annotations

import pytest

from cedarchute.metrics import Metrics
from cedarchute.pressure.held_byte_account import HeldByteAccount
from cedarchute.pressure.unbounded_bytes import UNBOUNDED
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.reply_writer import ReplyWriter

BODY = b"x" * 200_000


@pytest.mark.parametrize(("is_bounded", "writes"), [(False, 1), (True, 2)])
def test_a_large_body_is_sent_apart_from_its_head_with_a_bound_only(is_bounded, writes):
    held = HeldByteAccount(8_000_000, Metrics()) if is_bounded else UNBOUNDED
    sent = []
    request = CallerRequest(b"POST", b"/", Headers(), b"", True, 0.0)
    writer = ReplyWriter(request, sent.append, lambda: False, held=held)
    writer.write_whole(200, Headers(), BODY)
    assert len(sent) == writes
    assert b"".join(sent).endswith(b"\r\n\r\n" + BODY)
    assert writer.finished
