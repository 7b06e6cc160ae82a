"""Answers whose heads break the rules of HTTP/1.1, and unusual ones that keep them.

Each is a template, in which `FIELDS` stands for what tells to whom the answer belongs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from standins.raw_target import read_id

if TYPE_CHECKING:
    from standins.raw_target import RawRequest

FIELDS: Final = b"{fields}"
WRONG_BODY: Final = b"wrong"
RIGHT_BODY: Final = b"right"


def write_start(line: bytes) -> bytes:
    """Return an answer with a wrong status line."""
    return line + b"\r\n" + FIELDS + b"Content-Length: 5\r\n\r\n" + WRONG_BODY


def write_line(line: bytes) -> bytes:
    """Return an answer with a wrong line in its head."""
    start = b"HTTP/1.1 200 OK\r\n" + FIELDS + line
    return start + b"\r\nContent-Length: 5\r\n\r\n" + WRONG_BODY


def write_framing(fields: bytes, body: bytes = WRONG_BODY) -> bytes:
    """Return an answer whose head does not tell where its body ends."""
    return b"HTTP/1.1 200 OK\r\n" + FIELDS + fields + b"\r\n" + body


CHUNKS: Final = b"5\r\n" + WRONG_BODY + b"\r\n0\r\n\r\n"

MALFORMED_STARTS: Final = {
    "status_000": write_start(b"HTTP/1.1 000 OK"),
    "status_007": write_start(b"HTTP/1.1 007 OK"),
    "status_099": write_start(b"HTTP/1.1 099 OK"),
    "status_600": write_start(b"HTTP/1.1 600 OK"),
    "status_999": write_start(b"HTTP/1.1 999 OK"),
    "status_plus_200": write_start(b"HTTP/1.1 +200 OK"),
    "status_0200": write_start(b"HTTP/1.1 0200 OK"),
    "status_20": write_start(b"HTTP/1.1 20 OK"),
    "status_underscore": write_start(b"HTTP/1.1 2_00 OK"),
    "status_glued": write_start(b"HTTP/1.1 200OK"),
    "protocol_switched": write_start(b"HTTP/1.1 101 Switching Protocols"),
    "interim_with_body": write_start(b"HTTP/1.1 199 Odd"),
    "version_0_9": write_start(b"HTTP/0.9 200 OK"),
    "version_1_2": write_start(b"HTTP/1.2 200 OK"),
    "version_2_0": write_start(b"HTTP/2.0 200 OK"),
    "version_lower_case": write_start(b"http/1.1 200 OK"),
    "protocol_rtsp": write_start(b"RTSP/1.0 200 OK"),
    "protocol_icy": write_start(b"ICY 200 OK"),
    "two_blanks": write_start(b"HTTP/1.1  200 OK"),
    "tab_before_status": write_start(b"HTTP/1.1\t200 OK"),
    "blank_before_start": write_start(b" HTTP/1.1 200 OK"),
    "line_before_start": write_start(b"\r\nHTTP/1.1 200 OK"),
    "reason_nul": write_start(b"HTTP/1.1 200 O\0K"),
    "reason_control": write_start(b"HTTP/1.1 200 O\x01K"),
    "reason_delete": write_start(b"HTTP/1.1 200 O\x7fK"),
    "reason_carriage_return": write_start(b"HTTP/1.1 200 O\rK"),
    "start_line_feed": write_start(b"HTTP/1.1 200 OK\nX: a"),
}
MALFORMED_FIELDS: Final = {
    "name_blank": write_line(b"X A: b"),
    "name_blank_at_end": write_line(b"X : b"),
    "name_tab": write_line(b"X\tA: b"),
    "name_control": write_line(b"X\x01A: b"),
    "name_nul": write_line(b"X\0A: b"),
    "name_delete": write_line(b"X\x7fA: b"),
    "name_above_127": write_line(b"X\xff: b"),
    "name_separator": write_line(b"X(A): b"),
    "name_empty": write_line(b": b"),
    "no_colon": write_line(b"XA"),
    "folded": write_line(b"X: a\r\n b"),
    "folded_first": b"HTTP/1.1 200 OK\r\n X: a\r\n" + FIELDS + CHUNKS,
    "value_nul": write_line(b"X: a\0b"),
    "value_control": write_line(b"X: a\x01b"),
    "value_delete": write_line(b"X: a\x7fb"),
    "value_carriage_return": write_line(b"X: a\rY: b"),
    "value_line_feed": write_line(b"X: a\nY: b"),
}
MALFORMED_FRAMING: Final = {
    "length_signed": write_framing(b"Content-Length: +5\r\n"),
    "length_negative": write_framing(b"Content-Length: -5\r\n"),
    "length_underscore": write_framing(b"Content-Length: 0_5\r\n"),
    "length_empty": write_framing(b"Content-Length:\r\n"),
    "length_list": write_framing(b"Content-Length: 5, 5\r\n"),
    "length_huge": write_framing(b"Content-Length: %d\r\n" % 10**30),
    "length_twice": write_framing(b"Content-Length: 5\r\nContent-Length: 4\r\n"),
    "length_and_chunks": write_framing(
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", CHUNKS
    ),
    "coding_other": write_framing(b"Transfer-Encoding: gzip\r\n"),
    "coding_before_chunks": write_framing(
        b"Transfer-Encoding: gzip, chunked\r\n", CHUNKS
    ),
    "coding_after_chunks": write_framing(
        b"Transfer-Encoding: chunked, gzip\r\n", CHUNKS
    ),
    "chunks_twice": write_framing(2 * b"Transfer-Encoding: chunked\r\n", CHUNKS),
    "chunks_before_1_1": b"HTTP/1.0 200 OK\r\n"
    + FIELDS
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + CHUNKS,
}
MALFORMED: Final = {**MALFORMED_STARTS, **MALFORMED_FIELDS, **MALFORMED_FRAMING}

# Sizes of chunks that are none, and what follows a chunk.
MALFORMED_CHUNKS: Final = {
    name: write_framing(b"Transfer-Encoding: chunked\r\n", body + b"0\r\n\r\n")
    for name, body in {
        "size_signed": b"+5\r\nwrong\r\n",
        "size_prefixed": b"0x5\r\nwrong\r\n",
        "size_after_blank": b" 5\r\nwrong\r\n",
        "size_line_feed": b"5\nwrong\r\n",
        "no_end_of_chunk": b"5\r\nwrongXX",
    }.items()
}

SOUND_END: Final = FIELDS + b"Content-Length: 5\r\n\r\n" + RIGHT_BODY
UNUSUAL: Final = {
    "no_reason": b"HTTP/1.1 200 \r\n" + SOUND_END,
    "reason_above_127": b"HTTP/1.1 200 \xc3\x96K\tOK\r\n" + SOUND_END,
    "value_above_127": b"HTTP/1.1 200 OK\r\nX: \xff\x85\r\n" + SOUND_END,
    "blanks_around_value": b"HTTP/1.1 200 OK\r\nX: \t a \t \r\n" + SOUND_END,
    "value_empty": b"HTTP/1.1 200 OK\r\nX:\r\n" + SOUND_END,
    "continue_before": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + SOUND_END,
    "hints_before": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"
    + SOUND_END,
    "unknown_interim_before": b"HTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 200 OK\r\n"
    + SOUND_END,
    "version_1_0": b"HTTP/1.0 200 OK\r\n" + SOUND_END,
    "coding_upper_case": b"HTTP/1.1 200 OK\r\n"
    + FIELDS
    + b"Transfer-Encoding: Chunked\r\n\r\n5;a=b\r\nright\r\n0\r\nX: y\r\n\r\n",
}


def fill(template: bytes, fields: bytes = b"") -> bytes:
    """Return the bytes of an answer with `fields` in its head."""
    return template.replace(FIELDS, fields)


def fill_for(template: bytes, request: RawRequest) -> bytes:
    """Return the bytes of an answer that belongs to `request`."""
    attempt = read_id(request)
    return fill(
        template, b"Attempt-Id: %s\r\nServer-Seal: seal-%s\r\n" % (attempt, attempt)
    )
