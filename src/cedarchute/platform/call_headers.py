"""Decodes a caller's headers, and writes those of a request to a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.calls.call import Call, ProgramTerms
from cedarchute.platform import headers as names
from cedarchute.relay.headers import Headers
from cedarchute.relay.request_error import RequestError

if TYPE_CHECKING:
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.target_answer import TargetAnswer
    from cedarchute.routing.target_entry import TargetEntry

ANSWER_ID = names.CALL_ID


def _read_number(headers: Headers, name: bytes) -> int | None:
    text = headers.get_text(name).strip()
    if not text:
        return None
    if not text.isdigit():
        raise RequestError(400, f"header {name.decode()} is not a whole number")
    return int(text)


def read_call(request: CallerRequest) -> Call:
    """Return what a request asks for.

    Raises
    ------
    RequestError
        When a header does not hold what it should.
    """
    headers = request.headers
    call_id = headers.get_text(names.CALL_ID)
    if not call_id:
        raise RequestError(400, "header attempt-id is missing")
    patience = _read_number(headers, names.PATIENCE_MS)
    _, _, most = headers.get_text(names.TOKENS).partition(",")
    if most and not most.strip().isdigit():
        raise RequestError(400, "header token-count is not two numbers")
    terms = ProgramTerms(
        program=headers.get_text(names.PROGRAM),
        budget=_read_number(headers, names.BUDGET),
        previous=headers.get_text(names.PREVIOUS_TURN),
        most_tokens=int(most or 0),
    )
    seconds = None if patience is None else patience / 1000
    return Call(call_id, seconds, terms)


def read_program(request: CallerRequest) -> str:
    """Return the program that a request names, if any; for logs."""
    return request.headers.get_text(names.PROGRAM)


def write_target_headers(
    request: CallerRequest, target: TargetEntry, seconds_left: float
) -> Headers:
    """Return the headers of a request to a target."""
    kept = request.headers.select_end_to_end(names.REWRITTEN)
    milliseconds = max(1, int(seconds_left * 1000))
    return kept.extend(
        (b"Deadline-Ms", b"%d" % milliseconds),
        (b"Expect-Instance", target.id.encode("latin-1")),
    )


def write_refusal_headers(call_id: str, retry_after_seconds: float | None) -> Headers:
    """Return the headers of an answer of our own."""
    fields = Headers(((b"Attempt-Id", call_id.encode("latin-1")),))
    if retry_after_seconds is None:
        return fields
    return fields.extend((b"Retry-After", b"%.2f" % retry_after_seconds))


def says_not_run(answer: TargetAnswer) -> bool:
    """Tell whether a target's answer says that it did not run the request."""
    return answer.status == 421 or answer.headers.get(names.NOT_RUN) is not None
