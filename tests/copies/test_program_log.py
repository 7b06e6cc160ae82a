from __future__ import annotations

from cedarchute.copies.held_record import HeldRecord
from cedarchute.copies.log_record import LogRecord
from cedarchute.copies.packed_text import compress_text, decompress_text
from cedarchute.copies.program_log import ProgramLog

LONG = "ledger entry " * 500


def test_a_packed_record_reads_and_goes_to_holders_as_before():
    record = LogRecord(3, LONG)
    assert record.compress() == len(LONG)
    assert record.is_compressed
    assert record.compress() == 0
    assert record.text == LONG
    assert record.to_held_record() == HeldRecord(epoch=3, text=LONG)


def test_long_texts_take_less_and_short_ones_stay():
    assert len(compress_text(LONG)[0]) < len(LONG) / 10
    assert compress_text("short") == b"short"
    for text in ("", "short", LONG, "नेपाल " * 400):
        assert decompress_text(compress_text(text)) == text


def test_a_log_is_packed_in_parts_oldest_first():
    log = ProgramLog(HeldRecord(epoch=1, text=LONG) for _ in range(4))
    assert log.pack(len(LONG) + 1) == 2 * len(LONG)
    assert [record.is_compressed for record in log.records] == [
        True,
        True,
        False,
        False,
    ]
    log.add(1, ["new"])
    assert log.pack(10**9) == 2 * len(LONG) + 3
    assert log.pack(10**9) == 0
    assert [record.text for record in log.records] == [LONG] * 4 + ["new"]
