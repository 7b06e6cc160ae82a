"""A caller that writes bytes and reads bytes."""

from __future__ import annotations

import socket


class RawCaller:
    """One connection to an entry box."""

    def __init__(self, address, seconds=20.0):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=seconds)
        self.rest = b""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.sock.close()

    def send(self, data):
        self.sock.sendall(data)

    def read_until(self, mark):
        """Return the bytes up to and with `mark`; everything at a close."""
        while mark not in self.rest:
            received = self.sock.recv(65536)
            if not received:
                data, self.rest = self.rest, b""
                return data
            self.rest += received
        end = self.rest.index(mark) + len(mark)
        data, self.rest = self.rest[:end], self.rest[end:]
        return data

    def read_to_close(self):
        """Return everything until the other side closes."""
        try:
            while received := self.sock.recv(65536):
                self.rest += received
        except ConnectionResetError:
            pass
        data, self.rest = self.rest, b""
        return data

    def read_answer(self):
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
        length = int(headers.get("content-length", 0))
        while len(self.rest) < length:
            received = self.sock.recv(65536)
            assert received, "closed within a body"
            self.rest += received
        body, self.rest = self.rest[:length], self.rest[length:]
        return status, headers, body

    def read_chunks(self):
        body = b""
        while True:
            line = self.read_until(b"\r\n")
            assert line.endswith(b"\r\n"), "closed within a stream"
            size = int(line, 16)
            data = self.read_until(b"\r\n") if size == 0 else self.read_exact(size + 2)
            if size == 0:
                return body
            body += data[:-2]

    def read_exact(self, count):
        while len(self.rest) < count:
            received = self.sock.recv(65536)
            assert received, "closed within a stream"
            self.rest += received
        data, self.rest = self.rest[:count], self.rest[count:]
        return data


def build_request(path, call_id, body=b"", method=b"POST", headers=b"", patience=8000):
    """Return the bytes of a proper request."""
    return (
        b"%s %s HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\n"
        b"Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s"
        % (method, path, call_id, patience, headers, len(body), body)
    )


def call(address, *arguments, **options):
    """Send one request on a new connection; return its answer."""
    with RawCaller(address) as caller:
        caller.send(build_request(*arguments, **options))
        return caller.read_answer()
