"""Threads that repeat something at a rate."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class RepeatedLoad:
    """Threads that repeat something until they are stopped."""

    def __init__(self, work: Callable[[int], None], threads: int, rate: float) -> None:
        self.stop = threading.Event()
        self.count = 0
        self.lock = threading.Lock()
        self.rate = rate
        self.threads = [
            threading.Thread(target=self.run, args=(work, number, threads))
            for number in range(threads)
        ]

    def run(self, work: Callable[[int], None], number: int, threads: int) -> None:
        """Repeat at this thread's share of the rate."""
        due = time.monotonic()
        while not self.stop.is_set():
            work(number)
            with self.lock:
                self.count += 1
            due += threads / self.rate
            time.sleep(max(0.0, due - time.monotonic()))

    def __enter__(self) -> RepeatedLoad:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop.set()
        for thread in self.threads:
            thread.join()
