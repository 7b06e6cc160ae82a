"""Decodes callers' request headers and builds those of requests to targets."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

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
# Another target listens at the address: it was reassigned, or the entry is wrong.
MISDIRECTED_REQUEST: Final = 421
KEY_SCHEME: Final = b"token"
# What stays the same in all attempts of a request and tells it from other ones.
IDENTITY: Final = (
    names.PROGRAM,
    names.LINE,
    names.PREVIOUS_TURN,
    names.MODEL,
    names.TOKENS,
    names.PROMPT_PARTS,
)
# Header numbers must fit into a signed 64-bit integer.
MAX_NUMBER = 2**63 - 1
MAX_DIGITS = len(str(MAX_NUMBER))


def _read_number(headers: Headers, name: bytes) -> int | None:
    text = headers.get_text(name).strip()
    if not text:
        return None
    return _parse_number(text, name)


def _read_soft_deadline(headers: Headers) -> float | None:
    # Only a scheduling hint, so an invalid value is ignored.
    text = headers.get_text(names.PROGRAM_SOFT_DEADLINE_MS).strip()
    try:
        return max(0.0, float(text) / 1000) if text else None
    except ValueError:
        log.info("Soft deadline of a program is not a number; ignored.")
        return None


def _parse_number(text: str, name: bytes) -> int:
    # str.isdigit() also accepts non-ASCII digits.
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        raise RequestError(400, f"header {name.decode()} is not a whole number")
    number = int(text)
    if number > MAX_NUMBER:
        raise RequestError(400, f"header {name.decode()} is too large")
    return number


def read_call(request: CallerRequest) -> Call:
    """Return the call described by the headers of a request.

    Raises
    ------
    RequestError
        When a header is missing or invalid.
    """
    headers = request.headers
    call_id = headers.get_text(names.CALL_ID)
    if not call_id:
        raise RequestError(400, "header attempt-id is missing")
    timeout_ms = _read_number(headers, names.CALLER_TIMEOUT_MS)
    budget = _read_number(headers, names.BUDGET)
    _, _, max_output = headers.get_text(names.TOKENS).partition(",")
    if budget is not None and not max_output.strip():
        raise RequestError(400, "header token-count does not say the most tokens out")
    terms = ProgramContext(
        program=headers.get_text(names.PROGRAM),
        budget=budget,
        previous_turn=headers.get_text(names.PREVIOUS_TURN),
        max_tokens=_parse_number(max_output.strip() or "0", names.TOKENS),
        soft_deadline_seconds=_read_soft_deadline(headers),
    )
    seconds = None if timeout_ms is None else timeout_ms / 1000
    return Call(call_id, seconds, terms)


def read_program(request: CallerRequest) -> str:
    """Return the program id of a request for logs, empty if there is none."""
    return request.headers.get_text(names.PROGRAM)


def read_request_identity(request: CallerRequest) -> tuple[bytes, ...]:
    """Return the headers that tell a request from others with the same body."""
    headers = request.headers
    fields = tuple(headers.get(name) or b"" for name in IDENTITY)
    return (*fields, _read_object(headers))


def _read_object(headers: Headers) -> bytes:
    for field in headers.get_all(b"cookie"):
        for cookie in field.split(b";"):
            name, _, value = cookie.strip().partition(b"=")
            if name.lower() == names.OBJECT_COOKIE:
                return value
    return b""


def read_key(request: CallerRequest) -> bytes | None:
    """Return the API key of a request, or None if missing or ambiguous.

    Repeated headers, other schemes and malformed values yield None.
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
    urgency: int | None = None,
) -> Headers:
    """Return the headers of a request to a target.

    When workspaces have API keys, the target receives the authenticated workspace
    instead of the key, and the caller's own workspace header is dropped. Engines are
    told the urgency if there is one.
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
    if urgency is not None:
        kept = kept.extend((b"Request-Priority", b"%d" % urgency))
    if caller_identity is None or caller_identity.workspace is None:
        return kept
    return kept.extend((b"Tenant", caller_identity.workspace.name.encode()))


def write_health_check(path: str, target: TargetEntry) -> bytes:
    """Return a request that asks whether `target` is well."""
    host = f"{target.address.host}:{target.address.port}"
    lines = (f"GET {path} HTTP/1.1", f"Host: {host}", f"Expect-Instance: {target.id}")
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode("latin-1")


def read_instance(answer: TargetAnswer) -> str:
    """Return the id of the target that answered a health check; empty if none."""
    return answer.headers.get_text(names.INSTANCE)


def continue_after(request: CallerRequest, last_event_id: bytes) -> CallerRequest:
    """Return a request that asks for the events after `last_event_id` only."""
    # What the caller's Connection header names must not take the new field along.
    kept = request.headers.select_end_to_end(frozenset((names.LAST_EVENT_ID,)))
    headers = kept.extend((b"Last-Event-Id", last_event_id))
    return replace(request, headers=headers)


def write_refusal_headers(call_id: str, retry_after_seconds: float | None) -> Headers:
    """Return the headers of a rejection generated by this box."""
    fields = Headers(((b"Attempt-Id", call_id.encode("latin-1")),))
    if retry_after_seconds is None:
        return fields
    return fields.extend((b"Retry-After", b"%.2f" % retry_after_seconds))


def says_not_run(answer: TargetAnswer) -> bool:
    """Return whether a response says that the target did not run the request."""
    if answer.status == MISDIRECTED_REQUEST:
        return True
    return answer.headers.get(names.NOT_RUN) is not None
