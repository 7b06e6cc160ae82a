from __future__ import annotations

from fakes import StillClock

from cedarchute.scheduling import prefix_index
from cedarchute.scheduling.prefix_digests import (
    CHUNK_CHARACTERS,
    CHUNK_TOKENS,
    MOST_CHUNKS,
    digest_prefixes,
)
from cedarchute.scheduling.prefix_index import BELIEVED_SECONDS, PrefixIndex

SHARED = "s" * (3 * CHUNK_CHARACTERS)


def test_digests_agree_as_far_as_the_texts_do():
    first = digest_prefixes([SHARED + "a" * 500])
    second = digest_prefixes([SHARED + "b" * 500])
    assert first[:3] == second[:3]
    assert first[3] != second[3]


def test_digests_do_not_depend_on_where_a_later_message_begins():
    whole = digest_prefixes([SHARED + "\n" + "q" * 300])
    assert digest_prefixes([SHARED, "q" * 300]) == whole


def test_a_long_prompt_has_a_bounded_number_of_digests():
    assert len(digest_prefixes(["x" * 1_000_000])) == MOST_CHUNKS
    assert digest_prefixes(["short"]) == ()


def test_what_one_program_alone_has_is_not_shared():
    index = PrefixIndex(StillClock())
    digests = digest_prefixes([SHARED + "a" * 500])
    index.record_prompt(digests, "p1", "t0")
    index.record_prompt(digests, "p1", "t1")
    assert index.count_shared_tokens(digests) == 0
    index.record_prompt(digest_prefixes([SHARED + "b" * 500]), "p2", "t0")
    assert index.count_shared_tokens(digests) == 3 * CHUNK_TOKENS


def test_a_target_is_believed_to_hold_a_beginning_for_a_while():
    clock = StillClock()
    index = PrefixIndex(clock)
    digests = digest_prefixes([SHARED])
    index.record_prompt(digests, "p1", "t0")
    assert index.count_cached_tokens(digests, "t0") == 3 * CHUNK_TOKENS
    assert index.count_cached_tokens(digests, "t1") == 0
    clock.now += BELIEVED_SECONDS + 1
    assert index.count_cached_tokens(digests, "t0") == 0


def test_the_index_is_bounded(monkeypatch):
    monkeypatch.setattr(prefix_index, "MOST_ENTRIES", 10)
    index = PrefixIndex(StillClock())
    for number in range(30):
        index.record_prompt(digest_prefixes([f"{number:04}" * 64]), "p", "t0")
    assert len(index.entries) == 10
