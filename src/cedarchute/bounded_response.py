"""An HTTP response that is bounded in bytes and in time."""

from __future__ import annotations

import io
from http.client import HTTPResponse
from typing import TYPE_CHECKING, Any

from cedarchute.answer_bound import MAX_READ_TIMES
from cedarchute.bounded_reader import BoundedReader

if TYPE_CHECKING:
    import socket

    from cedarchute.answer_bound import AnswerBound


class BoundedResponse(HTTPResponse):
    """An answer that is read through a `BoundedReader`.

    Parameters
    ----------
    bound : AnswerBound
        What may be read.
    """

    def __init__(self, bound: AnswerBound, sock: socket.socket, **options: Any) -> None:
        self.sock = sock
        self.bound = bound
        super().__init__(self, **options)

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return the file that the answer is read from, in place of the socket's."""
        seconds = self.sock.gettimeout()
        self.reader = BoundedReader(
            self.sock.makefile(mode, buffering=0),
            self.bound.max_bytes,
            float("inf") if seconds is None else MAX_READ_TIMES * seconds,
        )
        return io.BufferedReader(self.reader)

    def read(self, amt: int | None = None) -> bytes:
        """Read up to `amt` bytes of the body, or all of it."""
        self.begin_read()
        return super().read(amt)

    def read1(self, n: int = -1) -> bytes:
        """Read up to `n` bytes of the body, with one read of the socket."""
        self.begin_read()
        return super().read1(n)

    def begin_read(self) -> None:
        """Bound the next read of a stream apart from those before."""
        if self.bound.is_stream:
            self.reader.restart()
