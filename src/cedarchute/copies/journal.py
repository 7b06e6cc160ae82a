"""Append-only file of checksummed frames, with group commit."""

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

FRAME_HEADER: Final = struct.Struct(">II")


class Journal:
    """Append-only journal; each frame has its length and a CRC-32.

    A truncated or corrupt frame ends the journal. A process that dies during a
    write leaves such a tail, which was never acknowledged.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = open(path, "a+b", buffering=0)  # noqa: SIM115
        self.pending: list[bytes] = []
        self.size = path.stat().st_size
        self.synced_size = self.size
        self.lock = Semaphore(1)

    def read_all(self) -> Iterator[tuple[int, bytes]]:
        """Yield offset and payload of each valid frame; truncate the rest."""
        offset = 0
        with open(self.path, "rb") as file:
            while True:
                header = file.read(FRAME_HEADER.size)
                if len(header) < FRAME_HEADER.size:
                    break
                length, checksum = FRAME_HEADER.unpack(header)
                payload = file.read(length)
                if len(payload) < length or zlib.crc32(payload) != checksum:
                    break
                yield offset, payload
                offset += FRAME_HEADER.size + length
        if offset < self.size:
            os.truncate(self.path, offset)
            self.size = self.synced_size = offset

    def append(self, payload: bytes) -> int:
        """Buffer a frame and return its offset; it is durable only after `sync`."""
        offset = self.size
        frame = FRAME_HEADER.pack(len(payload), zlib.crc32(payload)) + payload
        self.pending.append(frame)
        self.size += len(frame)
        return offset

    def sync(self) -> None:
        """Block until every frame appended so far is on the disk.

        Concurrent callers share one write and one fsync.
        """
        required_size = self.size
        while self.synced_size < required_size:
            with self.lock:
                if self.synced_size >= required_size:
                    return
                data = b"".join(self.pending)
                written_size = self.size
                self.pending = []
                tpool.execute(self._write, data)
                self.synced_size = written_size

    def _write(self, data: bytes) -> None:
        self.file.write(data)
        os.fsync(self.file.fileno())

    def read(self, offset: int) -> bytes:
        """Return the payload of the frame at `offset`."""
        if offset >= self.synced_size:
            self.sync()
        descriptor = self.file.fileno()
        header = os.pread(descriptor, FRAME_HEADER.size, offset)
        length, checksum = FRAME_HEADER.unpack(header)
        payload = tpool.execute(
            os.pread, descriptor, length, offset + FRAME_HEADER.size
        )
        if zlib.crc32(payload) != checksum:
            raise DamagedFrameError(
                f"{self.path}: checksum mismatch in frame at offset {offset}"
            )
        return payload

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class DamagedFrameError(Exception):
    """A frame fails its checksum on a read."""

    code = "damaged_frame"
