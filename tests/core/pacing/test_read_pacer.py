"""Shares of peers in the turns of an event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from cornellead_core.pacing import SLICE_BYTES
from cornellead_core.pacing import ReadPacer
from cornellead_core.pacing._read_pacer import PEER_BYTES
from cornellead_core.pacing._read_pacer import SMALL_READ_BYTES
from cornellead_core.pacing._read_pacer import TURN_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

SMALL_MESSAGE_BYTES = 300


class _Reader:
    """A connection whose peer always has bytes to read."""

    def __init__(self, pacer: ReadPacer, peer: str) -> None:
        self.pacer = pacer
        self.peer = peer
        self.throttled = False
        self.read_bytes = 0

    def set_throttled(self, throttled: bool) -> None:
        self.throttled = throttled

    def read(self, available: int = SLICE_BYTES) -> int:
        size = min(available, self.pacer.read_size)
        self.read_bytes += size
        self.pacer.charge(self, self.peer, size)
        return size


class _Turns:
    """Turns of an event loop, in which all readers that do not wait read once."""

    def __init__(self) -> None:
        self.callbacks: list[Callable[[], None]] = []
        self.pacer = ReadPacer(call_soon=self.callbacks.append)

    def begin(self) -> None:
        callbacks, self.callbacks[:] = list(self.callbacks), []
        for callback in callbacks:
            callback()

    def run(self, readers: list[_Reader], *, turns: int) -> list[int]:
        """Return the bytes that are read in each turn."""
        sizes = []
        for _ in range(turns):
            self.begin()
            sizes.append(sum(reader.read() for reader in readers if not reader.throttled))
        return sizes


def test_connections_of_one_peer_share_its_part() -> None:
    """Guards against a peer whose many connections take the turns of the loop."""
    turns = _Turns()
    greedy = [_Reader(turns.pacer, "greedy") for _ in range(370)]
    turns.run(greedy, turns=2)
    sizes = turns.run(greedy, turns=200)
    assert max(sizes) <= TURN_BYTES
    assert min(reader.read_bytes for reader in greedy) > 0


def test_small_message_never_waits_behind_greedy_peers() -> None:
    """Guards against answers that wait while another peer's bytes are read (issue 38)."""
    turns = _Turns()
    greedy = [_Reader(turns.pacer, f"greedy-{number % 10}") for number in range(100)]
    for number in range(100):
        turns.run(greedy, turns=1)
        small = _Reader(turns.pacer, f"small-{number}")
        assert small.read(SMALL_MESSAGE_BYTES) == SMALL_MESSAGE_BYTES and not small.throttled


def test_waiting_peers_take_turns() -> None:
    """Guards against a sound long answer that starves behind a peer with many connections."""
    turns = _Turns()
    greedy = [_Reader(turns.pacer, "greedy") for _ in range(100)]
    sound = _Reader(turns.pacer, "sound")
    turns.run([*greedy, sound], turns=200)
    alone = _Turns()
    undisturbed = _Reader(alone.pacer, "sound")
    alone.run([undisturbed], turns=200)
    assert sound.read_bytes >= undisturbed.read_bytes / 2


def test_peer_that_is_polled_last_gets_its_share() -> None:
    """Guards against greedy callers, polled first, that leave the others 512 bytes of each turn."""
    turns = _Turns()
    greedy = [_Reader(turns.pacer, f"greedy-{number}") for number in range(100)]
    turns.run(greedy, turns=200)
    sound = _Reader(turns.pacer, "sound")
    sizes = turns.run([*greedy, sound], turns=3)
    assert sound.read_bytes >= PEER_BYTES
    assert max(sizes) <= TURN_BYTES
    assert min(reader.read_bytes for reader in greedy) >= max(r.read_bytes for r in greedy) / 2


def test_closed_connection_does_not_wait() -> None:
    """Guards against turns that are spent on connections that have closed."""
    turns = _Turns()
    readers = [_Reader(turns.pacer, "greedy") for _ in range(9)]
    turns.run(readers, turns=1)
    assert turns.pacer.waiting
    for reader in readers:
        turns.pacer.forget(reader, reader.peer)
    assert not turns.pacer.waiting
    turns.begin()
    assert not turns.callbacks


@given(st.lists(st.integers(0, 5), min_size=1, max_size=60), st.integers(1, 30))
def test_turn_is_bounded_and_nobody_starves(peers: list[int], rounds: int) -> None:
    """Guards against turns that grow with the number of peers, and readers that never go on."""
    turns = _Turns()
    readers = [_Reader(turns.pacer, str(peer)) for peer in peers]
    sizes = turns.run(readers, turns=rounds + len(readers))
    limit = TURN_BYTES + SLICE_BYTES + len(readers) * SMALL_READ_BYTES
    assert max(sizes) <= limit
    assert all(reader.read_bytes for reader in readers)
    assert turns.pacer.waiting == sum(reader.throttled for reader in readers)
