"""Builds the JSON documents and server-sent events that callers receive."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from cedarchute.operators.site_file import ServiceKind
from cedarchute.problem import Problem
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.programs.program import Program
    from cedarchute.programs.records import CallFinished

DONE_EVENT = b"data: [DONE]\n\n"


def make_answer(program: str, outcome: CallFinished) -> dict[str, Any]:
    """Return the complete response of a call in the chat completions format.

    A call that used no prompt tokens went to a plain service; its response has the
    object type ``service.answer``.

    Raises
    ------
    Problem
        When the call failed.
    """
    if outcome.code is not None:
        raise Problem(
            outcome.code,
            outcome.detail or outcome.code,
            status=outcome.status,
            verdict=outcome.verdict,
            retry_after=1.0 if outcome.verdict is Verdict.NOT_RUN else None,
        )
    answer: dict[str, Any] = {
        "id": outcome.key,
        "object": "chat.completion",
        "program": program,
        "verdict": outcome.verdict.value,
    }
    if outcome.prompt_tokens == 0:
        answer["object"] = "service.answer"
        answer["answer"] = parse_json_or_text(outcome.text)
        return answer
    message = {"role": "assistant", "content": outcome.text}
    answer["choices"] = [
        {"index": 0, "message": message, "finish_reason": outcome.finish_reason}
    ]
    answer["usage"] = make_usage(outcome)
    return answer


def make_usage(outcome: CallFinished) -> dict[str, int]:
    """Return the token usage of a call."""
    return {
        "prompt_tokens": outcome.prompt_tokens,
        "completion_tokens": outcome.completion_tokens,
        "total_tokens": outcome.prompt_tokens + outcome.completion_tokens,
        "cached_tokens": outcome.cached_tokens,
        "budget_tokens": outcome.tokens,
    }


def parse_json_or_text(text: str) -> Any:
    """Return the parsed value of JSON text, or the text itself if it is not JSON."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def make_delta_event(attempt: int, offset: int, text: str) -> bytes:
    """Return an event with new text of a stream.

    `offset` is the number of characters of the stream up to the end of `text`; it
    forms the event ID from which a caller resumes.
    """
    document = {"choices": [{"index": 0, "delta": {"content": text}}]}
    data = json.dumps(document)
    return f"id: {attempt}.{offset}\ndata: {data}\n\n".encode()


def make_restart_event(attempt: int) -> bytes:
    """Return the event that tells a caller to discard the text received so far."""
    return f"event: restart\nid: {attempt}.0\ndata: {{}}\n\n".encode()


def make_final_events(program: str, outcome: CallFinished) -> bytes:
    """Return the events that end a stream: finish reason and usage, or a problem."""
    try:
        make_answer(program, outcome)
    except Problem as problem:
        return make_problem_events(problem)
    document = {
        "id": outcome.key,
        "program": program,
        "verdict": outcome.verdict.value,
        "choices": [{"index": 0, "delta": {}, "finish_reason": outcome.finish_reason}],
        "usage": make_usage(outcome),
    }
    return b"data: " + json.dumps(document).encode() + b"\n\n" + DONE_EVENT


def make_problem_events(problem: Problem) -> bytes:
    """Return the events that end a failed stream."""
    return make_problem_document_events(json.dumps(problem.document).encode())


def make_problem_document_events(document: bytes) -> bytes:
    """Return the events that end a failed stream, given a serialized problem."""
    return b"event: problem\ndata: " + document + b"\n\n" + DONE_EVENT


def describe_program(program: Program, box: str) -> dict[str, Any]:
    """Return the description of a program for callers and operators."""
    opened = program.opened
    assert opened is not None
    return {
        "program": program.id,
        "workspace": program.workspace,
        "home": box,
        "epoch": program.partition.epoch,
        "holders": list(program.partition.record.holders),
        "parent": opened.parent,
        "state": "ended" if program.ended else "open",
        "reason": program.ended.reason if program.ended else None,
        "takeovers": program.takeover_count,
        "budget": {
            "tokens": opened.budget.tokens,
            "tokens_used": program.used_tokens,
            "calls": opened.budget.calls,
            "calls_used": program.used_calls,
            "seconds": opened.budget.seconds,
        },
        "calls": [
            {
                "key": entry.key,
                "service": entry.service,
                "kind": ServiceKind(entry.kind).value,
                "target": entry.target,
                "attempt": entry.attempt,
                "verdict": entry.verdict.value if entry.verdict else "in progress",
                "tokens": entry.tokens,
            }
            for entry in program.calls.values()
        ],
    }
