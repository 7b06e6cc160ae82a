"""Passes on bodies that are too long to be held as a whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.relay.target_failure import TargetFailureError

if TYPE_CHECKING:
    from cedarchute.calls.attempts import Attempts
    from cedarchute.calls.target_client import OpenResponse, TargetClient
    from cedarchute.pressure.held_amount import HeldAmount
    from cedarchute.relay.reply_writer import ReplyWriter


def relay_long_body(
    client: TargetClient,
    writer: ReplyWriter,
    attempts: Attempts,
    opened: OpenResponse,
    amount: HeldAmount,
) -> None:
    """Write a response as its body comes; `amount` counts what is held of it.

    Raises
    ------
    CallRefusedError
        When the target fails: no other one can go on with its body.
    """
    answer = opened.answer
    is_finished = False
    try:
        writer.start_stream(answer.status, answer.headers.select_end_to_end())
        for part in client.read_long_body(opened, amount, attempts.deadline):
            writer.write_part(part)
        client.finish(opened)
        is_finished = True
        attempts.crash_watch.record_answer(answer.status)
    except TargetFailureError as error:
        client.handle_failure(opened.target, attempts.call, error)
        attempts.crash_watch.record_failure(opened.target, error)
        raise CallRefusedError(502, error.reason) from None
    finally:
        if not is_finished:
            client.abandon(opened)
    writer.end_stream()
