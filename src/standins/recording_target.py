"""A target as a process of its own, which prints when it read each request.

Has few places: a request that was read waits for one. Stopped by a signal, it leaves
what comes in to the kernel, as a process on a busy machine does.
"""

from __future__ import annotations

import argparse
import os
import sys
import threading
import time
from typing import TYPE_CHECKING, Final

from standins.raw_target import RawTarget, answer, read_id

if TYPE_CHECKING:
    import socket

    from standins.raw_target import RawRequest

RUN_SECONDS: Final = 0.02
LOOK_SECONDS: Final = 0.5


class RecordingTarget:
    """Prints ``read SECONDS ID`` for each request, in Unix time, then answers it."""

    def __init__(self, places: int, run_seconds: float) -> None:
        self.places = threading.Semaphore(places)
        self.run_seconds = run_seconds
        self.target = RawTarget(self.serve)

    def serve(self, request: RawRequest, connection: socket.socket) -> None:
        """Record a request; answer it once it had a place."""
        line = f"read {time.time():.4f} {read_id(request).decode()}\n"
        os.write(sys.stdout.fileno(), line.encode())
        with self.places:
            time.sleep(self.run_seconds)
        connection.sendall(answer(request))


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--places", type=int, default=4)
    parser.add_argument("--run_seconds", type=float, default=RUN_SECONDS)
    arguments = parser.parse_args()
    recording = RecordingTarget(arguments.places, arguments.run_seconds)
    recording.target.id = arguments.id
    print(f"listens {recording.target.address}", flush=True)
    while True:
        time.sleep(LOOK_SECONDS)


if __name__ == "__main__":
    main()
