from __future__ import annotations

import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from experiments.caller import Caller

ENTRIES: list[str] = []


class Entry(BaseHTTPRequestHandler):
    """An entry that answers every call, and names a silent one beside itself."""

    def do_GET(self):
        entries = [{"address": address} for address in ENTRIES]
        self.send({"entries": entries, "keep_seconds": 60})

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send({"verdict": "ran"})

    def send(self, document):
        data = json.dumps(document).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *arguments):
        pass


@pytest.fixture
def addresses():
    """An entry that answers, and one whose process is paused: it only connects."""
    silent = socket.create_server(("127.0.0.1", 0))
    server = ThreadingHTTPServer(("127.0.0.1", 0), Entry)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    answering = f"127.0.0.1:{server.server_address[1]}"
    ENTRIES[:] = [f"127.0.0.1:{silent.getsockname()[1]}", answering]
    yield answering
    server.shutdown()
    server.server_close()
    silent.close()


def test_a_caller_asks_elsewhere_when_a_box_is_silent(addresses):
    for seed in range(6):
        caller = Caller([addresses], seed, silence_seconds=0.2)
        for number in range(4):
            reply = caller.call("p-1", f"key-{number}", service="s", body={})
            assert reply.document["verdict"] == "ran"
        # The silent box is not asked a second time while it counts as failed.
        assert caller.retries <= 1
