"""Rules for the head of an answer beyond those that the parser enforces.

The parser refuses names that are no tokens, control bytes in values, folded lines, bare
line feeds, lengths that are no numbers, two of them, and one beside chunks (RFC 9112,
sections 2.2, 5 and 6). It lets through what stands here.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from cedarchute.relay.malformed_answer_error import MalformedAnswerError

if TYPE_CHECKING:
    from cedarchute.relay.target_answer import TargetAnswer

# The parser also takes an empty line, RTSP and ICE for the start of an answer.
FIRST_BYTE: Final = b"H"
VERSIONS: Final = frozenset(("1.0", "1.1"))
VERSION_WITHOUT_CHUNKS: Final = "1.0"
# RFC 9110, section 15.
MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
# Requests of this system ask for no other protocol.
SWITCHING_PROTOCOLS: Final = 101
# RFC 9112, section 4: a tab, blanks, visible characters and bytes above 127.
NOT_IN_REASON: Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
CHUNKED: Final = b"chunked"


def check_first_byte(data: bytes) -> None:
    """Raise `MalformedAnswerError` if `data` can't be the start of an answer."""
    if data[:1] != FIRST_BYTE:
        raise MalformedAnswerError("no HTTP answer")


def check_head(version: str, reason: bytes | bytearray, answer: TargetAnswer) -> None:
    """Raise `MalformedAnswerError` if the head of an answer breaks a rule.

    Parameters
    ----------
    version : str
        As ``1.1``.
    reason : bytes
        The rest of the status line, which may be empty.
    """
    if version not in VERSIONS:
        raise MalformedAnswerError(f"version {version}")
    if not MIN_STATUS <= answer.status <= MAX_STATUS:
        raise MalformedAnswerError(f"status {answer.status:03}")
    if answer.status == SWITCHING_PROTOCOLS:
        raise MalformedAnswerError("a protocol that was not asked for")
    if NOT_IN_REASON.search(reason):
        raise MalformedAnswerError("control byte in the reason")
    check_coding(version, answer)


def check_coding(version: str, answer: TargetAnswer) -> None:
    """Raise `MalformedAnswerError` if the body has no well-defined end.

    A coding other than chunks was not asked for, and nothing here could decode it.
    """
    codings = answer.headers.get_all(b"transfer-encoding")
    if codings and (
        version == VERSION_WITHOUT_CHUNKS
        or [coding.strip().lower() for coding in codings] != [CHUNKED]
    ):
        raise MalformedAnswerError("transfer coding")
    if not answer.is_interim:
        return
    lengths = answer.headers.get_all(b"content-length")
    if codings or any(length.strip(b"0") for length in lengths):
        raise MalformedAnswerError("interim answer with a body")
