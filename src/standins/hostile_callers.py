"""Requests within the limits that cost a box more than their bytes, never finished."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import TYPE_CHECKING, Final, Self

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

HEAD_BYTES: Final = 16_200
BODY_BYTES: Final = 3_999_000
BLOCK: Final = b"z" * 65_536
# Far beyond what a box may take of it, so that a fault ends a test and not the machine.
MAX_FRAMING_BYTES: Final = 64_000_000
CONNECT_SECONDS: Final = 10.0
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n\r\n"


def begin(number: int, method: bytes = b"POST", path: bytes = b"/again/x") -> bytes:
    """Return the beginning of a request with an id of its own."""
    return (
        b"%s %s HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: h%d\r\n"
        b"Deadline-Ms: 15000\r\n" % (method, path, number)
    )


def fill_head(start: bytes, line: bytes) -> bytes:
    """Return a head of many short lines without the empty line that ends it."""
    return start + line * ((HEAD_BYTES - len(start)) // len(line))


def send_short_lines(number: int) -> Iterator[bytes]:
    """Send a head of short lines; its target never answers."""
    yield fill_head(begin(number, b"GET", b"/again/hang"), b"a:b\r\n") + b"\r\n"


def send_odd_lines(number: int) -> Iterator[bytes]:
    """Send a head of lines without values; its target never answers."""
    yield fill_head(begin(number, b"GET", b"/again/hang"), b"~:\r\n") + b"\r\n"


def send_open_head(number: int) -> Iterator[bytes]:
    """Send short lines of a head that never ends."""
    yield fill_head(begin(number, b"GET"), b"a:b\r\n")


def send_refused_head(number: int) -> Iterator[bytes]:
    """Send a head of short lines for which there is no route."""
    yield fill_head(begin(number, b"GET", b"/none/x"), b"a:b\r\n") + b"\r\n"


def send_length(number: int) -> Iterator[bytes]:
    """Send a body of known length that lacks its last byte."""
    yield begin(number) + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    yield b"z" * (BODY_BYTES - 1)


def send_length_in_pieces(number: int) -> Iterator[bytes]:
    """Send such a body in small pieces."""
    yield begin(number) + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    for _ in range((BODY_BYTES - 1) // 500):
        yield b"z" * 500


def send_large_chunks(number: int) -> Iterator[bytes]:
    """Send a body in large chunks that stops before its end."""
    yield begin(number) + CHUNKED
    for _ in range(BODY_BYTES // 60_000):
        yield b"ea60\r\n" + b"z" * 60_000 + b"\r\n"


def send_small_chunks(number: int, size: int = 2) -> Iterator[bytes]:
    """Send a body in chunks of two bytes that stops before its end."""
    yield begin(number) + CHUNKED
    chunks = b"%x\r\n%s\r\n" % (size, b"z" * size) * 10_000
    for _ in range(BODY_BYTES // (10_000 * size)):
        yield chunks


def send_smallest_chunks(number: int) -> Iterator[bytes]:
    """Send a body in chunks of one byte that stops before its end."""
    yield from send_small_chunks(number, 1)


def send_requests(number: int) -> Iterator[bytes]:
    """Send small requests behind one whose target never answers."""
    yield begin(number, b"GET", b"/again/hang") + b"\r\n"
    for block in range(400):
        start = 1_000_000 * (number + 1) + 1000 * block
        yield b"".join(begin(start + n, b"GET") + b"\r\n" for n in range(500))


def send_bodies(number: int) -> Iterator[bytes]:
    """Send requests with large bodies behind one whose target never answers."""
    yield begin(number, b"GET", b"/again/hang") + b"\r\n"
    for follower in range(40):
        head = begin(1000 * (number + 1) + follower)
        yield head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"z" * BODY_BYTES


def repeat(start: bytes, block: bytes) -> Iterator[bytes]:
    """Yield a beginning, then the same block for as long as the box takes it."""
    yield start
    for _ in range(MAX_FRAMING_BYTES // len(block)):
        yield block


def send_trailer(number: int) -> Iterator[bytes]:
    """Send one trailer without end."""
    yield from repeat(begin(number) + CHUNKED + b"1\r\nz\r\n0\r\nX: ", BLOCK)


def send_trailers(number: int) -> Iterator[bytes]:
    """Send trailers without end."""
    start = begin(number) + CHUNKED + b"1\r\nz\r\n0\r\n"
    yield from repeat(start, b"a:b\r\n" * 13_000)


def send_extension(number: int) -> Iterator[bytes]:
    """Send one chunk extension without end."""
    yield from repeat(begin(number) + CHUNKED + b"5;x=", BLOCK)


def send_extensions(number: int) -> Iterator[bytes]:
    """Send chunks of one byte with long extensions."""
    chunk = b"1;a=b" + b";c=d" * 500 + b"\r\nz\r\n"
    yield from repeat(begin(number) + CHUNKED, chunk * 30)


def send_page_head(number: int) -> Iterator[bytes]:
    """Send a head that never ends to what serves pages."""
    yield b"GET /resolve HTTP/1.1\r\nHost: x%d\r\n" % number


def send_page_body(number: int) -> Iterator[bytes]:
    """Announce a large body to what serves pages, and send a part of it."""
    del number
    yield b"POST /turns/read HTTP/1.1\r\nHost: x\r\nContent-Length: 400000000\r\n\r\n"
    for _ in range(20_000_000 // len(BLOCK)):
        yield BLOCK


def send_page_chunks(number: int) -> Iterator[bytes]:
    """Send a body of unknown length in large chunks to what serves pages."""
    del number
    yield b"POST /turns/read HTTP/1.1\r\nHost: x\r\n" + CHUNKED
    for _ in range(20_000_000 // 60_000):
        yield b"ea60\r\n" + b"z" * 60_000 + b"\r\n"


def send_nothing(number: int) -> Iterator[bytes]:
    """Only connect."""
    del number
    yield from ()


class HostileCrowd:
    """Callers that each send one shape and then keep their connection.

    Attributes
    ----------
    sockets : list of socket
        The connections that could be opened.
    finished : int
        How many have sent everything they had.
    broken : int
        How many were refused, or ended by the other side while they sent.
    """

    def __init__(self, address: str, send: Callable[[int], Iterator[bytes]]) -> None:
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.send = send
        self.sockets: list[socket.socket] = []
        self.finished = 0
        self.broken = 0
        self.is_over = False
        self.lock = threading.Lock()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start(self, count: int) -> None:
        """Start callers, a thread each."""
        for number in range(count):
            threading.Thread(target=self.run, args=(number,), daemon=True).start()

    def run(self, number: int) -> None:
        """Send one shape."""
        try:
            self.send_all(number)
        except OSError:
            with self.lock:
                self.broken += 1
            return
        with self.lock:
            self.finished += 1

    def send_all(self, number: int) -> None:
        """Connect and send every piece; raise ``OSError`` when that is refused."""
        sock = socket.create_connection(self.address, CONNECT_SECONDS)
        sock.settimeout(None)
        with self.lock:
            self.sockets.append(sock)
        for piece in self.send(number):
            if self.is_over:
                return
            sock.sendall(piece)

    def wait(self, count: int, seconds: float) -> None:
        """Wait until all have sent what they had or were ended, `seconds` at most."""
        deadline = time.monotonic() + seconds
        while self.finished + self.broken < count and time.monotonic() < deadline:
            time.sleep(0.02)

    def count_ended(self) -> int:
        """Return how many connections the other side has ended."""
        return sum(map(is_ended, list(self.sockets)))

    def close(self) -> None:
        """Close every connection."""
        self.is_over = True
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def is_ended(sock: socket.socket) -> bool:
    """Return whether the other side has closed a connection; never waits."""
    try:
        while sock.recv(65_536, socket.MSG_DONTWAIT):
            pass
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
