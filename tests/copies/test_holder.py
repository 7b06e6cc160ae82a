from __future__ import annotations

import pytest
from fakes import StillClock, make_append

from cedarchute.copies.disk_storage import DiskStorage
from cedarchute.copies.holder import Holder
from cedarchute.copies.messages import SealRequest
from cedarchute.copies.record_storage import MemoryStorage
from cedarchute.metrics import Metrics

TAKEOVER_SECONDS = 10.0


@pytest.fixture(params=["memory", "disk"])
def holder(request, tmp_path):
    storage = MemoryStorage() if request.param == "memory" else DiskStorage(tmp_path)
    return Holder("h", storage, TAKEOVER_SECONDS, StillClock(), Metrics())


def read(holder):
    records = holder.read("box.1", "p") or ()
    return [(record.epoch, record.text) for record in records]


def seal(holder, epoch, owner_gone=False):
    return holder.on_seal(
        SealRequest(holder="h", partition="box.1", epoch=epoch, owner_gone=owner_gone)
    )


def test_records_are_taken_at_the_next_index_only(holder):
    assert holder.on_append(make_append("h", 1, 0, 0, "a")).results[0].lengths == {
        "p": 1
    }
    gap = holder.on_append(make_append("h", 1, 5, 1, "z"))
    assert gap.results[0].lengths == {"p": 1}
    again = holder.on_append(make_append("h", 1, 0, 0, "a", "b"))
    assert again.results[0].lengths == {"p": 2}
    assert read(holder) == [(1, "a"), (1, "b")]


def test_an_old_epoch_is_refused(holder):
    holder.on_append(make_append("h", 2, 0, 0, "a"))
    refused = holder.on_append(make_append("h", 1, 1, 2, "late"))
    assert refused.results[0].sealed == 2
    assert read(holder) == [(2, "a")]


def test_a_seal_waits_for_the_owner_to_be_silent(holder):
    holder.on_append(make_append("h", 1, 0, 0, "a"))
    assert seal(holder, 2).refused == "owner heard"
    holder.clock.now += TAKEOVER_SECONDS
    reply = seal(holder, 2)
    assert reply.refused is None
    assert reply.logs["p"].length == 1
    refused = holder.on_append(make_append("h", 1, 1, 1, "late"))
    assert refused.results[0].sealed == 2


def test_a_seal_does_not_wait_for_an_owner_that_is_gone(holder):
    holder.on_append(make_append("h", 1, 0, 0, "a"))
    assert seal(holder, 2, owner_gone=True).refused is None
    assert seal(holder, 1, owner_gone=True).refused == "higher epoch"


def test_a_tail_that_nobody_kept_is_replaced(holder):
    holder.on_append(make_append("h", 1, 0, 0, "a", "b", "lost"))
    seal(holder, 2, owner_gone=True)
    holder.on_append(make_append("h", 2, 2, 1, "c"))
    assert read(holder) == [(1, "a"), (1, "b"), (2, "c")]


def test_a_record_before_the_start_of_another_epoch_is_cut(holder):
    holder.on_append(make_append("h", 1, 0, 0, "a", "lost"))
    holder.on_append(make_append("h", 3, 2, 3, "c"))
    assert read(holder) == [(1, "a")]


def test_a_request_for_another_storage_is_turned_away(holder):
    assert not holder.on_append(make_append("other", 1, 0, 0, "a")).holder
    assert seal(holder, 2).logs == {}


def test_the_disk_keeps_records_and_epochs_over_a_restart(tmp_path):
    storage = DiskStorage(tmp_path)
    first = Holder("h", storage, TAKEOVER_SECONDS, StillClock(), Metrics())
    first.on_append(make_append("h", 1, 0, 0, "a", "b"))
    first.on_append(make_append("h", 4, 1, 1, "c"))
    storage.lock_file.close()
    second = Holder(
        "h", DiskStorage(tmp_path), TAKEOVER_SECONDS, StillClock(), Metrics()
    )
    assert read(second) == [(1, "a"), (4, "c")]
    refused = second.on_append(make_append("h", 3, 2, 4, "late"))
    assert refused.results[0].sealed == 4
    # The takeover period of the owner starts again with the restart.
    assert seal(second, 5).refused == "owner heard"


def test_a_torn_tail_of_the_journal_is_cut(tmp_path):
    storage = DiskStorage(tmp_path)
    first = Holder("h", storage, TAKEOVER_SECONDS, StillClock(), Metrics())
    first.on_append(make_append("h", 1, 0, 0, "a", "b"))
    storage.lock_file.close()
    journal = tmp_path / "copies.journal"
    whole = journal.read_bytes()
    for length in range(len(whole) - 30, len(whole)):
        journal.write_bytes(whole[:length])
        torn = DiskStorage(tmp_path)
        second = Holder("h", torn, TAKEOVER_SECONDS, StillClock(), Metrics())
        assert read(second) in ([(1, "a")], [])
        torn.lock_file.close()


def test_damage_in_the_journal_ends_it(tmp_path):
    storage = DiskStorage(tmp_path)
    first = Holder("h", storage, TAKEOVER_SECONDS, StillClock(), Metrics())
    first.on_append(make_append("h", 1, 0, 0, "a", "b"))
    storage.lock_file.close()
    journal = tmp_path / "copies.journal"
    data = bytearray(journal.read_bytes())
    data[-1] ^= 1
    journal.write_bytes(bytes(data))
    second = Holder(
        "h", DiskStorage(tmp_path), TAKEOVER_SECONDS, StillClock(), Metrics()
    )
    assert read(second) == [(1, "a")]
