"""The documents and events in which callers get answers."""

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
    """Return the whole answer of a call, with the names of chat completions.

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
        answer["answer"] = parse_loosely(outcome.text)
        return answer
    message = {"role": "assistant", "content": outcome.text}
    answer["choices"] = [
        {"index": 0, "message": message, "finish_reason": outcome.finish_reason}
    ]
    answer["usage"] = make_usage(outcome)
    return answer


def make_usage(outcome: CallFinished) -> dict[str, int]:
    """Return what an answer cost."""
    return {
        "prompt_tokens": outcome.prompt_tokens,
        "completion_tokens": outcome.completion_tokens,
        "total_tokens": outcome.prompt_tokens + outcome.completion_tokens,
        "cached_tokens": outcome.cached_tokens,
        "budget_tokens": outcome.tokens,
    }


def parse_loosely(text: str) -> Any:
    """Return JSON as its value and anything else as text."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def make_piece_event(attempt: int, offset: int, text: str) -> bytes:
    """Return the event of some text that ends at `offset` characters."""
    document = {"choices": [{"index": 0, "delta": {"content": text}}]}
    data = json.dumps(document)
    return f"id: {attempt}.{offset}\ndata: {data}\n\n".encode()


def make_restart_event(attempt: int) -> bytes:
    """Return the event that tells to drop the text so far."""
    return f"event: restart\nid: {attempt}.0\ndata: {{}}\n\n".encode()


def make_end_events(program: str, outcome: CallFinished) -> bytes:
    """Return the last events of a stream."""
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
    """Return the last events of a stream that failed."""
    return make_refusal_events(json.dumps(problem.document).encode())


def make_refusal_events(document: bytes) -> bytes:
    """Return the last events of a stream from the document of its problem."""
    return b"event: problem\ndata: " + document + b"\n\n" + DONE_EVENT


def describe_program(program: Program, box: str) -> dict[str, Any]:
    """Return what callers and operators may know of a program."""
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
