"""One process that an experiment has started."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pathlib import Path

STOP_SECONDS: Final = 60.0
# One thread for the life of the experiment: the end of a thread runs weak reference
# callbacks in the main thread, which drop an exception that a signal raises in them.
STARTER: Final = ThreadPoolExecutor(1)


class ProcessClosedError(Exception):
    """A process was to be started after its site had ended."""

    code = "process_closed"


class Process:
    """A child process with its log; ended by its own id and no other.

    Attributes
    ----------
    environment : dict of str to str
        Variables that it has beside those of this process.
    lock : Lock
        Held while the process is started or ended, so that an end never misses a
        process whose id is not known yet.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        folder: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.environment = environment or {}
        self.log_path = folder / f"{name}.log"
        self.popen: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.lock = threading.Lock()
        self.is_closed = False

    def start(self) -> None:
        """Start the process; its output goes to its log.

        Signals raise in the main thread only, so another thread starts it: an
        exception between the fork and the assignment would leave nobody to end it.

        Raises
        ------
        ProcessClosedError
            After `close`.
        """
        STARTER.submit(self._spawn).result()

    def _spawn(self) -> None:
        with self.lock:
            if self.is_closed:
                raise ProcessClosedError(self.name)
            self.starts += 1
            with self.log_path.open("ab") as log:
                self.popen = subprocess.Popen(
                    [sys.executable, "-W", "ignore", *self.arguments],
                    stdout=log,
                    stderr=log,
                    stdin=subprocess.DEVNULL,
                    env={**os.environ, **self.environment},
                )

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self.popen is not None
        return self.popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def kill(self) -> None:
        """End the process at once."""
        if self.is_running:
            os.kill(self.pid, signal.SIGCONT)
            os.kill(self.pid, signal.SIGKILL)
            assert self.popen is not None
            self.popen.wait(STOP_SECONDS)

    def close(self) -> None:
        """End the process for good: it is not started again, by any thread."""
        with self.lock:
            self.is_closed = True
            self.kill()

    def pause(self) -> None:
        """Stop the process for a while."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a planned stop."""
        os.kill(self.pid, signal.SIGTERM)

    def wait(self) -> int:
        """Wait for the end and return the exit code."""
        assert self.popen is not None
        return self.popen.wait(STOP_SECONDS)

    def read_log(self) -> str:
        """Return everything that the process has written."""
        return self.log_path.read_text(errors="replace")

    @property
    def cpu_seconds(self) -> float:
        """Processor time that the process has used."""
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    @property
    def memory_bytes(self) -> int:
        """Resident memory of the process."""
        with open(f"/proc/{self.pid}/statm", encoding="ascii") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
