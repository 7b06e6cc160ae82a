"""Records on the disk of a holder, in segments that are dropped whole."""

from __future__ import annotations

import logging
import os
import zlib
from typing import TYPE_CHECKING, Final

import msgspec
from eventlet import tpool

from cedarchute.turns.records import Record

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

log = logging.getLogger("cedarchute.turns")

SUFFIX: Final = ".journal"
SEGMENT_BYTES: Final = 8_000_000
CHECKSUM_DIGITS: Final = 8

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Record)


def encode_line(record: Record) -> bytes:
    """Return one record as a line: checksum, blank, JSON."""
    text = _encoder.encode(record)
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode_line(line: bytes) -> Record | None:
    """Return the record of a line, or None when the line is torn."""
    digits, _, text = line.rstrip(b"\n").partition(b" ")
    try:
        if len(digits) != CHECKSUM_DIGITS or int(digits, 16) != zlib.crc32(text):
            return None
        return _decoder.decode(text)
    except (ValueError, msgspec.MsgspecError):
        return None


class TurnJournal:
    """Appends lines to the newest segment and syncs them.

    A loss of power may tear, drop or keep each write since the last sync, so a
    line that does not match its checksum is passed over and reading goes on: what
    was synced behind it counts. Every start opens a new segment.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.sequence = max(self.list_segments(), default=0)
        self.file: int | None = None
        self.written = 0
        self.since_compaction = 0

    def list_segments(self) -> list[int]:
        """Return the numbers of the segments on disk, oldest first."""
        names = self.folder.glob(f"*{SUFFIX}")
        return sorted(int(path.stem) for path in names if path.stem.isdigit())

    def path(self, segment: int) -> Path:
        """Return the path of a segment."""
        return self.folder / f"{segment:08d}{SUFFIX}"

    def read_all(self) -> Iterator[Record]:
        """Yield every record that is whole, oldest first."""
        for segment in self.list_segments():
            torn = 0
            for line in self.path(segment).read_bytes().split(b"\n"):
                record = decode_line(line) if line else None
                if record is not None:
                    yield record
                elif line:
                    torn += 1
            if torn:
                log.warning("Torn lines.", extra={"segment": segment, "lines": torn})

    def append(self, lines: list[bytes]) -> None:
        """Write `lines` and wait until they are on the disk.

        Raises
        ------
        OSError
            When the disk does not take them; none of them counts then.
        """
        tpool.execute(self.write, b"".join(lines))

    def write(self, data: bytes) -> None:
        """Write and sync; called in a thread, so that green threads go on."""
        if self.file is None or self.written > SEGMENT_BYTES:
            self.open_segment()
        view = memoryview(data)
        while view:
            view = view[os.write(self.file, view) :]
        os.fdatasync(self.file)
        self.written += len(data)
        self.since_compaction += len(data)

    def open_segment(self) -> None:
        """Begin a new segment whose name lasts."""
        if self.file is not None:
            os.close(self.file)
        self.sequence += 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.file = os.open(self.path(self.sequence), flags, 0o640)
        os.fsync(self.file)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self.written = 0

    def roll(self) -> int:
        """Let the next write open a new segment; return its number."""
        self.written = SEGMENT_BYTES + 1
        self.since_compaction = 0
        return self.sequence + 1

    def drop_before(self, segment: int) -> None:
        """Remove the segments older than `segment`."""
        for number in self.list_segments():
            if number < segment:
                self.path(number).unlink(missing_ok=True)
