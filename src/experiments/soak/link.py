"""A link on the loopback interface that can be harmed while it is used."""

from __future__ import annotations

import socket
import threading
import time
from enum import StrEnum
from typing import Final

from experiments.ports import find_free_port
from standins.raw_target import reset

HOST: Final = "127.0.0.1"
READ_BYTES: Final = 65_536
# A harmed direction looks this often whether it is sound again.
POLL_SECONDS: Final = 0.01
DELAY_SECONDS: Final = 0.15


class Harm(StrEnum):
    """What is wrong with a link."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class Link:
    """Listens on a port of its own and passes bytes on to one address.

    A silent link keeps its connections and passes nothing on until it is sound; one
    that is cut one way passes on what callers send, and not what comes back.
    """

    def __init__(self, to_address: str) -> None:
        host, _, port = to_address.rpartition(":")
        self.to = (host, int(port))
        self.harm = Harm.NONE
        self.ends: set[socket.socket] = set()
        self.ended: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, find_free_port()), backlog=64)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept_forever, daemon=True).start()

    def accept_forever(self) -> None:
        """Take connections, each with a thread for each direction."""
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near: socket.socket) -> None:
        """Connect one connection through."""
        if self.harm is Harm.REFUSE:
            reset(near)
            return
        try:
            far = socket.create_connection(self.to, timeout=5.0)
        except OSError:
            reset(near)
            return
        far.settimeout(None)
        self.ends |= {near, far}
        back = threading.Thread(
            target=self.copy,
            args=(far, near, {Harm.SILENCE, Harm.ONE_WAY}),
            daemon=True,
        )
        back.start()
        self.copy(near, far, {Harm.SILENCE})

    def copy(
        self, source: socket.socket, sink: socket.socket, held_by: set[Harm]
    ) -> None:
        """Copy one direction until it ends."""
        try:
            while data := source.recv(READ_BYTES):
                if self.harm is Harm.DELAY:
                    time.sleep(DELAY_SECONDS)
                while self.harm in held_by:
                    time.sleep(POLL_SECONDS)
                sink.sendall(data)
            if source in self.ends:
                self.end(source, sink)
            else:
                # It was reset here, which ends the reading too: no orderly end.
                self.forget(sink)
        except OSError:
            # A reset is passed on as a reset, never as an orderly end.
            self.forget(source)
            self.forget(sink)

    def end(self, source: socket.socket, sink: socket.socket) -> None:
        """Pass an orderly end on; close both sockets behind the second one."""
        sink.shutdown(socket.SHUT_WR)
        with self.lock:
            self.ended.add(source)
            is_over = sink in self.ended
            if is_over:
                self.ended -= {source, sink}
                self.ends -= {source, sink}
        if is_over:
            source.close()
            sink.close()

    def forget(self, end: socket.socket) -> None:
        """Reset one end."""
        self.ends.discard(end)
        self.ended.discard(end)
        try:
            end.shutdown(socket.SHUT_RD)
            reset(end)
        except OSError:
            end.close()

    def reset_all(self) -> None:
        """Reset every connection."""
        for end in list(self.ends):
            self.forget(end)

    def close(self) -> None:
        """Take no more connections, and end those that are there."""
        self.listener.close()
        self.reset_all()
