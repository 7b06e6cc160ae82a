"""Append-only journal of records, in segments."""

from __future__ import annotations

import logging
import os
import zlib
from typing import TYPE_CHECKING, Final

import msgspec
from eventlet import tpool

from cedarchute.turns.durable_file import sync_folder
from cedarchute.turns.records import JournalRecord

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

log = logging.getLogger("cedarchute.turns")

SUFFIX: Final = ".journal"
SEGMENT_BYTES: Final = 8_000_000
CHECKSUM_DIGITS: Final = 8

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(JournalRecord)


def encode_line(record: JournalRecord) -> bytes:
    """Encode a record as one line: CRC-32 in hex, space, JSON."""
    text = _encoder.encode(record)
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode_line(line: bytes) -> JournalRecord | None:
    """Decode a line; return None if it is torn or corrupt."""
    digits, _, text = line.rstrip(b"\n").partition(b" ")
    try:
        if len(digits) != CHECKSUM_DIGITS or int(digits, 16) != zlib.crc32(text):
            return None
        return _decoder.decode(text)
    except (ValueError, msgspec.MsgspecError):
        return None


class TurnJournal:
    """Appends lines to the newest segment and syncs them.

    A power failure can tear or drop any write since the last sync, so reading skips
    lines with a wrong checksum and continues with those after it. Each start opens a
    new segment.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.sequence = max(self.list_segments(), default=0)
        self.file: int | None = None
        self.written = 0
        self.found_bytes = sum(map(self.measure, self.list_segments()))
        # Counted by the thread that writes, respectively by the one that deletes.
        self.written_bytes = 0
        self.deleted_bytes = 0
        self.torn_lines = 0

    @property
    def stored_bytes(self) -> int:
        """Size of all segments on the disk, those of earlier processes included."""
        return self.found_bytes + self.written_bytes - self.deleted_bytes

    def measure(self, segment: int) -> int:
        """Return the size of a segment; 0 if it is not there."""
        path = self.path(segment)
        return path.stat().st_size if path.exists() else 0

    def list_segments(self) -> list[int]:
        """Return the numbers of the segments on disk, oldest first."""
        names = self.folder.glob(f"*{SUFFIX}")
        return sorted(int(path.stem) for path in names if path.stem.isdigit())

    def path(self, segment: int) -> Path:
        """Return the path of a segment."""
        return self.folder / f"{segment:08d}{SUFFIX}"

    def read_all(self) -> Iterator[JournalRecord]:
        """Yield all valid records, oldest first; log the number of torn lines."""
        for segment in self.list_segments():
            torn = 0
            for line in self.path(segment).read_bytes().split(b"\n"):
                record = decode_line(line) if line else None
                if record is not None:
                    yield record
                elif line:
                    torn += 1
            self.torn_lines += torn
            if torn:
                log.warning(
                    "Skipped torn journal lines.",
                    extra={"segment": segment, "lines": torn},
                )

    def append(self, lines: list[bytes], in_new_segment: bool = False) -> int:
        """Write `lines`, wait until they are durable, and return their segment.

        The segments belong to the thread that writes, so a new one is opened there.

        Raises
        ------
        OSError
            If the write or sync fails; none of the lines counts as durable.
        """
        tpool.execute(self.write, b"".join(lines), in_new_segment)
        return self.sequence

    def write(self, data: bytes, in_new_segment: bool = False) -> None:
        """Write and sync; runs in an OS thread so as not to block green threads."""
        try:
            if self.file is None or in_new_segment or self.written > SEGMENT_BYTES:
                self.open_segment()
            view = memoryview(data)
            while view:
                view = view[os.write(self.file, view) :]
            os.fdatasync(self.file)
        except OSError:
            # The segment may end within a line, which the next one would continue, or
            # its name may not be durable.
            self.close_segment()
            raise
        self.written += len(data)
        self.written_bytes += len(data)

    def open_segment(self) -> None:
        """Open a new segment and sync its directory entry."""
        self.close_segment()
        self.sequence += 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.file = os.open(self.path(self.sequence), flags, 0o640)
        os.fsync(self.file)
        sync_folder(self.folder)
        self.written = 0

    def close_segment(self) -> None:
        """Close the open segment, if any; the next write opens a new one."""
        if self.file is not None:
            file, self.file = self.file, None
            os.close(file)

    def delete_before(self, segment: int) -> None:
        """Delete the segments older than `segment`."""
        for number in self.list_segments():
            if number < segment:
                self.deleted_bytes += self.measure(number)
                self.path(number).unlink(missing_ok=True)
