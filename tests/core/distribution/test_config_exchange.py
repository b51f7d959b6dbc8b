"""Decisions of the distribution."""

from __future__ import annotations

import random
from typing import Any

import pytest

from cornellead_core.blackboard import Blackboard
from cornellead_core.distribution import ConfigExchange
from cornellead_core.distribution import ConfigStore
from cornellead_core.distribution._config_exchange import ISOLATED_S
from cornellead_core.distribution._config_exchange import PROBE_OFFSET
from cornellead_core.distribution._log_read_policy import TAILS_PER_DC
from cornellead_core.distribution._log_read_policy import snapshot_rank
from cornellead_core.distribution._log_read_policy import tail_rank
from cornellead_core.membership import Peers
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import LogPage
from cornellead_core.platform import LogRecord
from cornellead_core.wire import UNKNOWN_AGE_MS
from cornellead_core.wire import Ack
from cornellead_core.wire import ConfigOffset
from cornellead_core.wire import ConfigRecords
from cornellead_core.wire import ConfigSnapshot
from cornellead_core.wire import ConfigStateRequest


def _hosts(size: int) -> list[HostEntry]:
    return [
        HostEntry(f"{dc}-{i}", HostKind.AGENT, "r", dc, "", f"{dc}-{i}:1")
        for dc in "ab"
        for i in range(size)
    ]


def _make(name: str = "a-0", *, size: int = 6) -> tuple[ConfigExchange, ConfigStore]:
    store = ConfigStore(board=Blackboard())
    store.publish()
    exchange = ConfigExchange(store=store, name=name, dc="a", rng=random.Random(1), now=0.0)
    exchange.peers = Peers(hosts=_hosts(size), name=name, dc="a")
    exchange.started = True
    return exchange, store


def _tails(size: int) -> list[str]:
    peers = [Peers(hosts=_hosts(size), name=f"a-{i}", dc="a") for i in range(size)]
    return [peer.name for peer in sorted(peers, key=tail_rank)]


def _page(count: int, *, end: int | None = None) -> LogPage:
    records = [LogRecord(offset, 0, _value(offset)) for offset in range(count)]
    return LogPage(records, count, 0, count if end is None else end, 1e9, 0)


def _value(offset: int) -> dict[str, Any]:
    objects: dict[str, Any] = {"model/m": {}}
    fields = {"change_id": str(offset), "author": "a", "base": offset - 1, "objects": objects}
    return {"kind": "change", **fields}


def test_new_records_go_to_four_near_peers_and_one_far() -> None:
    """Guards against a change that spreads too slowly, costs too much or stays in one place."""
    exchange, _ = _make()
    exchange.take_page(_page(1), now=0.0)
    pushes = exchange.take_pushes()
    near = {push.address for push in pushes if push.address.startswith("a-")}
    assert len(near) == 4 and len(pushes) == 5 and "a-0:1" not in near
    exchange.take_page(_page(1), now=0.0)
    assert exchange.take_pushes() == []


def test_long_runs_are_not_pushed() -> None:
    """Guards against a process that catches up and floods its peers with old records."""
    exchange, _ = _make()
    exchange.take_page(_page(100), now=0.0)
    assert exchange.take_pushes() == []


def test_push_that_does_not_connect_asks_for_a_comparison() -> None:
    """Guards against a process that waits although it knows that it lacks records."""
    exchange, store = _make()
    other, _ = _make("a-1")
    other.take_page(_page(3), now=0.0)
    message = other.take_pushes()[0].message
    assert isinstance(message, ConfigRecords)
    assert exchange.answer(message._replace(records=message.records[1:]), now=0.0) == Ack()
    assert store.offset == -1 and exchange.take_gap() and not exchange.take_gap()
    answer = other.answer(exchange.compare(now=0.0), now=0.0)
    assert answer is not None
    exchange.take_answer("a-1:1", answer, now=0.0)
    assert store.offset == 2 and not exchange.take_gap()


def test_pushes_are_ignored_before_the_start() -> None:
    """Guards against a first state that is chosen by chance."""
    exchange, store = _make()
    other, _ = _make("a-1")
    other.take_page(_page(1), now=0.0)
    exchange.started = False
    assert exchange.answer(other.take_pushes()[0].message, now=0.0) == Ack()
    assert store.offset == -1


def test_comparison_with_a_peer_that_lags_pushes_to_it() -> None:
    """Guards against a comparison that helps only one side."""
    exchange, _ = _make()
    exchange.take_page(_page(3), now=0.0)
    exchange.take_pushes()
    exchange.take_answer("b-0:1", ConfigRecords([], 0), now=0.0)
    pushes = exchange.take_pushes()
    assert [push.address for push in pushes] == ["b-0:1"]
    message = pushes[0].message
    assert isinstance(message, ConfigRecords)
    assert [record[0] for record in message.records] == [1, 2]


def test_probe_and_state() -> None:
    """Guards against a start that must fetch whole states to find the highest."""
    exchange, _ = _make()
    exchange.take_page(_page(300), now=0.0)
    probe = exchange.answer(ConfigOffset(PROBE_OFFSET), now=0.0)
    assert isinstance(probe, ConfigRecords) and (probe.records, probe.offset) == ([], 299)
    state = exchange.answer(ConfigStateRequest(), now=0.0)
    assert isinstance(state, ConfigSnapshot)
    other, store = _make("a-1")
    other.take_answer("a-0:1", state, now=0.0)
    assert store.offset == 299
    lagging = exchange.answer(ConfigOffset(0), now=0.0)
    assert isinstance(lagging, ConfigSnapshot)
    assert exchange.answer(Ack(), now=0.0) is None


@pytest.mark.parametrize("size", [3, 6, 95])
def test_first_in_rank_read_the_log_while_it_is_read(size: int) -> None:
    """Guards against every process reading the log, or none."""
    for rank, name in enumerate(_tails(size)):
        exchange, _ = _make(name, size=size)
        exchange.answer(ConfigOffset(-1, 0), now=1.0)
        assert exchange.reads_log(now=1.5) == (rank < TAILS_PER_DC)


def test_next_in_rank_takes_over() -> None:
    """Guards against a fleet that waits for readers which cannot reach the log."""
    exchange, _ = _make(_tails(6)[2])
    exchange.answer(ConfigOffset(-1, 100), now=1.0)
    exchange.answer(ConfigOffset(-1, UNKNOWN_AGE_MS), now=1.9)
    assert not exchange.reads_log(now=2.0)
    assert exchange.reads_log(now=3.0)


def test_age_of_a_peer_that_knows_more_counts_only_with_its_records() -> None:
    """Guards against a process that is taken for up to date because another one is."""
    exchange, _ = _make(_tails(6)[2])
    exchange.answer(ConfigOffset(7, 0), now=1.0)
    assert exchange.reads_log(now=1.0)


def test_process_without_peers_reads_the_log() -> None:
    """Guards against a process that waits for others it cannot reach, in a large data centre."""
    exchange, _ = _make(_tails(95)[94], size=95)
    exchange.answer(ConfigOffset(-1, 0), now=1.0)
    assert not exchange.reads_log(now=1.0 + ISOLATED_S)
    assert exchange.reads_log(now=1.1 + ISOLATED_S)


def test_snapshot_ranks_differ() -> None:
    """Guards against several snapshots at once, or a long wait for the first."""
    ranks = {
        snapshot_rank(Peers(hosts=_hosts(6), name=host.name, dc=host.dc)) for host in _hosts(6)
    }
    assert set(range(2 * TAILS_PER_DC)) <= ranks
