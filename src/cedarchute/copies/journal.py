"""A file of checksummed frames that only grows, with a shared sync."""

from __future__ import annotations

import os
import struct
import zlib
from typing import TYPE_CHECKING, Final

from eventlet import tpool
from eventlet.semaphore import Semaphore

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

HEADER: Final = struct.Struct(">II")


class Journal:
    """Frames of bytes, each with its length and a CRC-32.

    A frame that is cut short or damaged ends the journal: a process that dies in
    the middle of a write leaves such a tail, and nobody was told that it is kept.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = open(path, "a+b", buffering=0)  # noqa: SIM115
        self.pending: list[bytes] = []
        self.size = path.stat().st_size
        self.synced = self.size
        self.lock = Semaphore(1)

    def read_all(self) -> Iterator[tuple[int, bytes]]:
        """Yield the offset and the payload of each whole frame; cut the rest."""
        offset = 0
        with open(self.path, "rb") as file:
            while True:
                header = file.read(HEADER.size)
                if len(header) < HEADER.size:
                    break
                length, checksum = HEADER.unpack(header)
                payload = file.read(length)
                if len(payload) < length or zlib.crc32(payload) != checksum:
                    break
                yield offset, payload
                offset += HEADER.size + length
        if offset < self.size:
            os.truncate(self.path, offset)
            self.size = self.synced = offset

    def append(self, payload: bytes) -> int:
        """Add a frame and return its offset; kept only after `sync`."""
        offset = self.size
        frame = HEADER.pack(len(payload), zlib.crc32(payload)) + payload
        self.pending.append(frame)
        self.size += len(frame)
        return offset

    def sync(self) -> None:
        """Return when every frame added so far is on the disk.

        Tasks that wait here together share one write and one sync.
        """
        wanted = self.size
        while self.synced < wanted:
            with self.lock:
                if self.synced >= wanted:
                    return
                data = b"".join(self.pending)
                reached = self.size
                self.pending = []
                tpool.execute(self._write, data)
                self.synced = reached

    def _write(self, data: bytes) -> None:
        self.file.write(data)
        os.fsync(self.file.fileno())

    def read(self, offset: int) -> bytes:
        """Return the payload of the frame at `offset`."""
        if offset >= self.synced:
            self.sync()
        descriptor = self.file.fileno()
        header = os.pread(descriptor, HEADER.size, offset)
        length, checksum = HEADER.unpack(header)
        payload = tpool.execute(os.pread, descriptor, length, offset + HEADER.size)
        if zlib.crc32(payload) != checksum:
            raise DamagedFrameError(f"{self.path}: frame at {offset} is damaged")
        return payload

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class DamagedFrameError(Exception):
    """A frame that was whole before has changed on the disk."""

    code = "damaged_frame"
