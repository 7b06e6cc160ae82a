"""Decodes a caller's headers, and writes those of a request to a target."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from cedarchute.calls.call import Call, ProgramContext
from cedarchute.platform import headers as names
from cedarchute.relay.headers import Headers
from cedarchute.relay.request_error import RequestError

if TYPE_CHECKING:
    from cedarchute.calls.caller_identity import CallerIdentity
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.target_answer import TargetAnswer
    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.platform")

ANSWER_ID = names.CALL_ID
KEY_SCHEME: Final = b"token"
# Numbers of headers fit into 64 bits with a sign.
MOST = 2**63 - 1
MOST_DIGITS = len(str(MOST))


def _read_number(headers: Headers, name: bytes) -> int | None:
    text = headers.get_text(name).strip()
    if not text:
        return None
    return _parse_number(text, name)


def _read_aim(headers: Headers) -> float | None:
    # A hint for decisions only: what is no number counts as not given.
    text = headers.get_text(names.PROGRAM_AIM_MS).strip()
    try:
        return max(0.0, float(text) / 1000) if text else None
    except ValueError:
        log.info("A time that a program should take is no number.")
        return None


def _parse_number(text: str, name: bytes) -> int:
    # Digits of other scripts count as digits too, but not as numbers.
    if not (text.isascii() and text.isdigit()) or len(text) > MOST_DIGITS:
        raise RequestError(400, f"header {name.decode()} is not a whole number")
    number = int(text)
    if number > MOST:
        raise RequestError(400, f"header {name.decode()} is too large")
    return number


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
    budget = _read_number(headers, names.BUDGET)
    _, _, most = headers.get_text(names.TOKENS).partition(",")
    if budget is not None and not most.strip():
        raise RequestError(400, "header token-count does not say the most tokens out")
    terms = ProgramContext(
        program=headers.get_text(names.PROGRAM),
        budget=budget,
        previous_turn=headers.get_text(names.PREVIOUS_TURN),
        max_tokens=_parse_number(most.strip() or "0", names.TOKENS),
        soft_deadline_seconds=_read_aim(headers),
    )
    seconds = None if patience is None else patience / 1000
    return Call(call_id, seconds, terms)


def read_program(request: CallerRequest) -> str:
    """Return the program that a request names, if any; for logs."""
    return request.headers.get_text(names.PROGRAM)


def read_key(request: CallerRequest) -> bytes | None:
    """Return the key that a request carries, None when that is not clear.

    Two headers, another scheme or more than one word name no key.
    """
    fields = request.headers.get_all(names.CALLER_KEY)
    if len(fields) != 1:
        return None
    words = fields[0].split()
    if len(words) != 2 or words[0].lower() != KEY_SCHEME:
        return None
    return words[1]


def write_target_headers(
    request: CallerRequest,
    target: TargetEntry,
    seconds_left: float,
    caller_identity: CallerIdentity | None,
) -> Headers:
    """Return the headers of a request to a target.

    Where workspaces hold keys, the target learns of the caller's workspace and not of
    its key, and what the caller says of its workspace counts nothing.
    """
    rewritten = (
        names.REWRITTEN if caller_identity is None else names.REWRITTEN_WITH_KEYS
    )
    kept = request.headers.select_end_to_end(rewritten)
    milliseconds = max(1, int(seconds_left * 1000))
    kept = kept.extend(
        (b"Deadline-Ms", b"%d" % milliseconds),
        (b"Expect-Instance", target.id.encode("latin-1")),
    )
    if caller_identity is None or caller_identity.workspace is None:
        return kept
    return kept.extend((b"Tenant", caller_identity.workspace.name.encode()))


def write_refusal_headers(call_id: str, retry_after_seconds: float | None) -> Headers:
    """Return the headers of an answer of our own."""
    fields = Headers(((b"Attempt-Id", call_id.encode("latin-1")),))
    if retry_after_seconds is None:
        return fields
    return fields.extend((b"Retry-After", b"%.2f" % retry_after_seconds))


def says_not_run(answer: TargetAnswer) -> bool:
    """Tell whether a target's answer says that it did not run the request."""
    return answer.status == 421 or answer.headers.get(names.NOT_RUN) is not None
