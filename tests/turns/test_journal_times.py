"""When programs were last used, by a journal that several processes wrote."""

from __future__ import annotations

import pytest
from test_expiry import RETENTION_SECONDS, clock
from test_turn_storage import make_storage, make_turn

from cedarchute.turns.records import Reserved, Settled

__all__ = ["clock"]

PERIOD_SECONDS = 5.0


class Disk:
    """Storage whose uptime is noted as by a holder; processes can be restarted."""

    def __init__(self, folder, clock):
        self.folder = folder
        self.clock = clock
        self.restart()

    def restart(self, away_seconds=0.0):
        self.clock.now += away_seconds
        self.storage = make_storage(self.folder)
        self.storage.load()

    def run(self, seconds):
        """Let time go on."""
        end = self.clock.now + seconds
        while self.clock.now + PERIOD_SECONDS <= end:
            self.clock.now += PERIOD_SECONDS
            self.storage.note_uptime()
        self.clock.now = end
        self.storage.sync()

    def is_expired(self, program="p"):
        return program in self.storage.list_expired()


@pytest.fixture
def disk(tmp_path, clock):
    return Disk(tmp_path, clock)


# Holders that were restarted in turn kept everything anew each time, until they had no
# memory for further turns.
def test_programs_expire_beside_restarts(disk):
    disk.storage.write([make_turn("a")])
    for _ in range(4):
        disk.run(RETENTION_SECONDS / 4)
        assert not disk.is_expired()
        disk.restart()
    disk.run(PERIOD_SECONDS * 5)
    assert disk.is_expired()


@pytest.mark.parametrize("lives", [1, 3])
def test_no_program_expires_early_after_restarts(disk, lives):
    """Time away doesn't count, and a use counts from the next noted uptime."""
    disk.run(1000)
    disk.storage.write([make_turn("a")])
    used_at = disk.clock.now
    for _ in range(lives):
        disk.run((RETENTION_SECONDS - 1) / lives)
        disk.restart()
        state = disk.storage.programs["p"]
        assert state.last_used_at >= used_at
    assert not disk.is_expired()
    disk.restart(away_seconds=1000)
    assert not disk.is_expired()


@pytest.mark.parametrize("seconds", [0.0, 1.0, 4.9, 5.0, 30.0])
def test_a_use_after_others_is_the_last_one(disk, seconds):
    disk.storage.write([make_turn("a")])
    disk.run(RETENTION_SECONDS - 10)
    disk.storage.write([Reserved("p", "b", 10), Settled("p", "b", 0)])
    disk.run(seconds)
    disk.restart()
    idle = disk.clock.now - disk.storage.programs["p"].last_used_at
    assert seconds - PERIOD_SECONDS <= idle <= seconds


def test_a_compaction_and_a_copy_are_no_use(disk, tmp_path, clock):
    disk.storage.write([make_turn("a"), make_turn("b", program="q")])
    disk.run(RETENTION_SECONDS - 20)
    disk.storage.write([make_turn("c", "b", program="q")])
    disk.storage.compact()
    (tmp_path / "copy").mkdir()
    copy = Disk(tmp_path / "copy", clock)
    copy.storage.write_copies([make_turn("a")], {"p": RETENTION_SECONDS - 20})
    for one in (disk, copy):
        one.run(30)
    for one in (disk, copy):
        one.restart()
        one.run(20)
    assert disk.is_expired("p")
    assert copy.is_expired("p")
    assert not disk.is_expired("q")


def test_a_program_that_another_one_continues_is_kept_after_a_restart(disk):
    disk.storage.write([make_turn("a")])
    disk.run(RETENTION_SECONDS - 1)
    disk.storage.collect_chain("a", "other", open_seconds=RETENTION_SECONDS)
    disk.run(0)
    disk.restart()
    disk.run(RETENTION_SECONDS - 1)
    assert not disk.is_expired()
    disk.run(RETENTION_SECONDS + 10)
    assert disk.is_expired()


def test_a_journal_without_uptimes_counts_as_used_at_the_start(disk, clock):
    disk.storage.write([make_turn("a")])
    clock.now += RETENTION_SECONDS - 1
    disk.restart()
    assert disk.storage.programs["p"].last_used_at == clock.now


def test_a_dropped_program_leaves_no_time_to_another_of_its_name(disk):
    disk.storage.write([make_turn("a")])
    disk.run(RETENTION_SECONDS + 1)
    disk.storage.drop("p")
    disk.storage.write([make_turn("b")])
    disk.run(10)
    disk.storage.drop("p")
    disk.storage.sync()
    disk.restart()
    assert disk.storage.programs == {}
    disk.storage.write([make_turn("c")])
    disk.restart()
    assert not disk.is_expired()
