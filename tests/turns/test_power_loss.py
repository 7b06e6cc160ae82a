"""What a holder has acknowledged, after its power was lost at any moment."""

from __future__ import annotations

import random

import pytest
from power_loss import RecordedDisk, lose_power
from test_turn_storage import make_turn

from cedarchute.metrics import Metrics
from cedarchute.turns import turn_journal
from cedarchute.turns.disk_identity import DiskIdentity
from cedarchute.turns.durable_file import make_folder
from cedarchute.turns.group_commit_writer import GroupCommitWriter
from cedarchute.turns.seat_version_file import SeatVersionFile
from cedarchute.turns.turn_storage import TurnStorage

SEEDS = 60
STEPS = 40


class DirectJournal(turn_journal.TurnJournal):
    """Writes in the calling thread."""

    def append(self, lines, in_new_segment=False):
        self.write(b"".join(lines), in_new_segment)
        return self.sequence


class PowerLostError(OSError):
    """The power was lost within a call."""


class Disk:
    """A data folder with the parts of a holder that write to it."""

    def __init__(self, root, chance, keeps_synced_files, patch):
        self.recorded = RecordedDisk(root, chance, keeps_synced_files)
        self.recorded.install(patch)
        self.folder = root / "data" / "holder"
        make_folder(self.folder)
        self.identity = DiskIdentity.load(self.folder)
        self.version_file = SeatVersionFile(self.folder)
        journal = DirectJournal(self.folder)
        self.storage = TurnStorage(GroupCommitWriter(journal, Metrics()))
        self.storage.load()

    def read_turns(self):
        return set(self.storage.turn_index)


def start_again(disk, root, chance, keeps_synced_files):
    """Start on what a loss of power has left; return the disk and its patch."""
    root.mkdir()
    lose_power(disk.recorded, root)
    patch = pytest.MonkeyPatch()
    try:
        return Disk(root, chance, keeps_synced_files, patch)
    finally:
        patch.undo()


def fail_at(patch, disk, chance):
    """Lose the power at a random call from here on."""
    left = chance.randrange(1, 12)
    sync = disk.recorded.sync

    def count_down(descriptor):
        nonlocal left
        left -= 1
        if left <= 0:
            raise PowerLostError
        sync(descriptor)

    patch.setattr(turn_journal.os, "fsync", count_down)
    patch.setattr(turn_journal.os, "fdatasync", count_down)


@pytest.mark.parametrize("keeps_synced_files", [True, False])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_loss_of_power_takes_what_was_acknowledged(
    seed, keeps_synced_files, tmp_path, monkeypatch
):
    chance = random.Random(seed)
    monkeypatch.setattr(turn_journal, "SEGMENT_BYTES", 1500)
    root = tmp_path / "first"
    root.mkdir()
    acknowledged = set()
    version = 0
    is_complete = False
    with pytest.MonkeyPatch.context() as patch:
        disk = Disk(root, chance, keeps_synced_files, patch)
        name = disk.identity.disk
        try:
            for step in range(STEPS):
                if step == STEPS // 2:
                    fail_at(patch, disk, chance)
                action = chance.choice(["turn"] * 6 + ["compact", "version", "mark"])
                if action == "turn":
                    disk.storage.write([make_turn(f"t{step}")])
                    acknowledged.add(f"t{step}")
                elif action == "compact":
                    disk.storage.compact()
                elif action == "version":
                    disk.version_file.store(version + 1)
                    version += 1
                elif not is_complete:
                    disk.identity = disk.identity.mark_complete(disk.folder)
                    is_complete = True
        except PowerLostError:
            pass
    again = start_again(disk, tmp_path / "second", chance, keeps_synced_files)
    assert again.read_turns() >= acknowledged
    assert again.version_file.version >= version
    assert again.identity.disk == name
    assert again.identity.complete >= is_complete
