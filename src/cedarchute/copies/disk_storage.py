"""Durable storage of copies in the data folder."""

from __future__ import annotations

import fcntl
import json
import logging
import os
from typing import TYPE_CHECKING, Any, Final

from cedarchute.copies.journal import Journal
from cedarchute.copies.partition_copy import PartitionCopy, StoredRecord

if TYPE_CHECKING:
    from pathlib import Path

log = logging.getLogger("cedarchute.copies")

JOURNAL_FILE: Final = "copies.journal"
HOLDER_FILE: Final = "holder"
LOCK_FILE: Final = "lock"


class FolderInUseError(Exception):
    """Another process uses the data folder."""

    code = "folder_in_use"


class DiskStorage:
    """Stores records in a journal and keeps only their offsets in memory.

    The journal is compacted at each start.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.lock_file = open(folder / LOCK_FILE, "w", encoding="ascii")  # noqa: SIM115
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise FolderInUseError(
                f"[box] data_folder: '{folder}' is used by another process; "
                "give each box a folder of its own"
            ) from error
        self.journal = Journal(folder / JOURNAL_FILE)

    def name_holder(self, new: str) -> str:
        """Return the stored name of the holder; store `new` when there is none."""
        path = self.folder / HOLDER_FILE
        if path.exists():
            return path.read_text(encoding="ascii").strip()
        temporary = path.with_suffix(".new")
        temporary.write_text(new, encoding="ascii")
        os.replace(temporary, path)
        return new

    def load(self) -> dict[str, PartitionCopy]:
        """Replay the journal, compact it and return the copies in it."""
        copies: dict[str, PartitionCopy] = {}
        for offset, payload in self.journal.read_all():
            header, _, _ = payload.partition(b"\n")
            replay_frame(copies, json.loads(header), offset)
        self._rewrite(copies)
        count = sum(len(copy.programs) for copy in copies.values())
        log.info("Read %d programs from %s.", count, self.folder)
        return copies

    def _rewrite(self, copies: dict[str, PartitionCopy]) -> None:
        old = self.journal
        path = self.folder / f"{JOURNAL_FILE}.new"
        path.unlink(missing_ok=True)
        self.journal = Journal(path)
        for partition, copy in copies.items():
            self.record_epoch(partition, copy.epoch)
            for program, records in copy.programs.items():
                for index, record in enumerate(records):
                    payload = old.read(record.handle)  # type: ignore[arg-type]
                    text = payload.partition(b"\n")[2].decode()
                    record.handle = self.put(
                        partition, program, index, record.epoch, text
                    )
        self.journal.sync()
        os.replace(path, self.folder / JOURNAL_FILE)
        old.close()

    def put(
        self, partition: str, program: str, index: int, epoch: int, text: str
    ) -> object:
        """Append a record to the journal and return its offset."""
        header = ["record", partition, program, index, epoch]
        return self.journal.append(json.dumps(header).encode() + b"\n" + text.encode())

    def get(self, handle: object) -> str:
        """Return the text of the record at an offset."""
        assert isinstance(handle, int)
        return self.journal.read(handle).partition(b"\n")[2].decode()

    def record_epoch(self, partition: str, epoch: int) -> None:
        """Append the new epoch of a partition to the journal."""
        self.journal.append(json.dumps(["epoch", partition, epoch]).encode())

    def record_forgotten(self, partition: str, program: str | None) -> None:
        """Append the deletion of a program, or of a partition, to the journal."""
        self.journal.append(json.dumps(["forgotten", partition, program]).encode())

    def sync(self) -> None:
        """Block until the journal is on the disk."""
        self.journal.sync()


def replay_frame(
    copies: dict[str, PartitionCopy], header: list[Any], offset: int
) -> None:
    """Apply one frame of the journal to the copies."""
    kind, partition, *rest = header
    if kind == "forgotten" and rest[0] is None:
        copies.pop(partition, None)
        return
    copy = copies.setdefault(partition, PartitionCopy())
    if kind == "epoch":
        copy.epoch = rest[0]
    elif kind == "forgotten":
        copy.programs.pop(rest[0], None)
    else:
        program, index, epoch = rest
        records = copy.programs.setdefault(program, [])
        del records[index:]
        records.append(StoredRecord(epoch, offset))
