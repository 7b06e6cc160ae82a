"""A caller that writes bytes and reads bytes."""

from __future__ import annotations

import socket
from typing import Final

READ_BYTES: Final = 65_536


class RawCaller:
    """One connection to an entry box."""

    def __init__(self, address: str, seconds: float = 20.0) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=seconds)
        self.rest = b""

    def __enter__(self) -> RawCaller:
        return self

    def __exit__(self, *_: object) -> None:
        self.sock.close()

    def send(self, data: bytes) -> None:
        """Write bytes."""
        self.sock.sendall(data)

    def receive(self) -> bytes:
        """Wait for bytes, keep them and return them; none at a close."""
        received = self.sock.recv(READ_BYTES)
        self.rest += received
        return received

    def take(self, count: int) -> bytes:
        """Return the first `count` bytes of what was received."""
        data, self.rest = self.rest[:count], self.rest[count:]
        return data

    def read_until(self, mark: bytes) -> bytes:
        """Return the bytes up to and with `mark`; everything at a close."""
        while mark not in self.rest:
            if not self.receive():
                return self.take(len(self.rest))
        return self.take(self.rest.index(mark) + len(mark))

    def read_exact(self, count: int) -> bytes:
        """Return `count` bytes."""
        while len(self.rest) < count:
            assert self.receive(), "closed within a body"
        return self.take(count)

    def read_to_close(self) -> bytes:
        """Return everything until the other side closes."""
        try:
            while self.receive():
                pass
        except ConnectionResetError:
            pass
        return self.take(len(self.rest))

    def read_answer(self) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers (lower case) and body of one whole answer."""
        head = self.read_until(b"\r\n\r\n").decode("latin-1")
        lines = head.split("\r\n")
        status = int(lines[0].split()[1])
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            return status, headers, self.read_chunks()
        return status, headers, self.read_exact(int(headers.get("content-length", 0)))

    def read_chunks(self) -> bytes:
        """Return a body that comes in chunks."""
        body = b""
        while True:
            line = self.read_until(b"\r\n")
            assert line.endswith(b"\r\n"), "closed within a stream"
            size = int(line, 16)
            if size == 0:
                self.read_until(b"\r\n")
                return body
            body += self.read_exact(size + 2)[:-2]


def build_request(
    path: bytes,
    call_id: bytes,
    body: bytes = b"",
    method: bytes = b"POST",
    headers: bytes = b"",
    patience: int = 8000,
) -> bytes:
    """Return the bytes of a proper request; `patience` in milliseconds."""
    return (
        b"%s %s HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\n"
        b"Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s"
        % (method, path, call_id, patience, headers, len(body), body)
    )


def call(
    address: str, path: bytes, call_id: bytes, body: bytes = b"", **options: bytes
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection; return its answer."""
    with RawCaller(address) as caller:
        caller.send(build_request(path, call_id, body, **options))
        return caller.read_answer()
