"""What may be read of the answer of another process."""

from __future__ import annotations

from typing import Final

from cedarchute.record import Record

# An answer may take as many times as long as its next bytes may.
MAX_READ_TIMES: Final = 10


class AnswerBound(Record):
    """What may be read of an answer.

    Attributes
    ----------
    max_bytes : int
        Bytes of the whole answer, or of the head and of each read of a stream.
    is_stream : bool
        Whether an answer may go on for any time.
    """

    max_bytes: int
    is_stream: bool = False
