"""Prefix cache of the stand-in engine."""

from __future__ import annotations

from hypothesis import given
from hypothesis import seed
from hypothesis import strategies as st

from cornellead_standins.engine import PrefixCache

CHATS = st.lists(
    st.tuples(st.sampled_from("abcde"), st.lists(st.sampled_from("xyz"), max_size=14)), max_size=30
)


@seed(1)
@given(stores=CHATS, capacity=st.integers(1, 8))
def test_cache_holds_exactly_the_blocks_of_its_chats(
    stores: list[tuple[str, list[str]]], capacity: int
) -> None:
    """Guards against leaked blocks and against change events that don't match the content."""
    cache = PrefixCache(capacity=capacity, block_tokens=2)
    listed: set[str] = set()
    for key, tokens in stores:
        for change in cache.store(key, tokens):
            (listed.add if change.kind == "stored" else listed.discard)(change.key)
        exported = [cache.export_blocks(each) for each in "abcde"]
        cached = {
            each for each, blocks in zip("abcde", exported, strict=True) if blocks is not None
        }
        blocks = {block for hashes in exported if hashes is not None for block in hashes}
        assert cached == listed
        assert cache.block_count == len(blocks) <= capacity


@seed(1)
@given(tokens=st.lists(st.sampled_from("xyz"), max_size=20), more=st.lists(st.just("x")))
def test_match_returns_longest_cached_prefix(tokens: list[str], more: list[str]) -> None:
    """Guards against a match that is shorter or longer than the cached prefix."""
    cache = PrefixCache(capacity=100, block_tokens=4)
    cache.store("a", tokens)
    longest = len(tokens) // 4 * 4
    assert cache.match([*tokens[:longest], "other", *more]) == longest


def test_least_recently_used_chat_is_evicted() -> None:
    """Guards against evicting chats that were used again recently."""
    cache = PrefixCache(capacity=4, block_tokens=1)
    cache.store("old", ["1", "2"])
    cache.store("new", ["3", "4"])
    cache.store("old", ["1", "2"])
    assert [change.key for change in cache.store("next", ["5"])] == ["next", "new"]
