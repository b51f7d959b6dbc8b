"""Tests of the configuration gossip protocol."""

from __future__ import annotations

import random
from typing import Any

import pytest

from cornellead_core.blackboard import Blackboard
from cornellead_core.distribution import ConfigExchange
from cornellead_core.distribution import ConfigStore
from cornellead_core.distribution._config_exchange import ISOLATION_TIMEOUT_S
from cornellead_core.distribution._config_exchange import PROBE_OFFSET
from cornellead_core.distribution._log_read_policy import LOG_READERS_PER_DC
from cornellead_core.distribution._log_read_policy import log_reader_rank
from cornellead_core.distribution._log_read_policy import snapshot_rank
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


def _make_hosts(size: int) -> list[HostEntry]:
    return [
        HostEntry(f"{dc}-{i}", HostKind.AGENT, "r", dc, "", f"{dc}-{i}:1")
        for dc in "ab"
        for i in range(size)
    ]


def _make_exchange(name: str = "a-0", *, size: int = 6) -> tuple[ConfigExchange, ConfigStore]:
    store = ConfigStore(board=Blackboard())
    store.publish()
    exchange = ConfigExchange(store=store, name=name, dc="a", rng=random.Random(1), now=0.0)
    exchange.peers = Peers(hosts=_make_hosts(size), name=name, dc="a")
    exchange.started = True
    return exchange, store


def _log_readers_by_rank(size: int) -> list[str]:
    peers = [Peers(hosts=_make_hosts(size), name=f"a-{i}", dc="a") for i in range(size)]
    return [peer.name for peer in sorted(peers, key=log_reader_rank)]


def _make_page(count: int, *, end: int | None = None) -> LogPage:
    records = [LogRecord(offset, 0, _make_change(offset)) for offset in range(count)]
    return LogPage(records, count, 0, count if end is None else end, 1e9, 0)


def _make_change(offset: int) -> dict[str, Any]:
    objects: dict[str, Any] = {"model/m": {}}
    fields = {"change_id": str(offset), "author": "a", "base": offset - 1, "objects": objects}
    return {"kind": "change", **fields}


def test_new_records_are_pushed_to_four_local_peers_and_one_remote_peer() -> None:
    """Guards against changes that spread too slowly, cost too much or stay in one data centre."""
    exchange, _ = _make_exchange()
    exchange.apply_log_page(_make_page(1), now=0.0)
    pushes = exchange.pop_pushes()
    local = {push.address for push in pushes if push.address.startswith("a-")}
    assert len(local) == 4 and len(pushes) == 5 and "a-0:1" not in local
    exchange.apply_log_page(_make_page(1), now=0.0)
    assert exchange.pop_pushes() == []


def test_long_runs_are_not_pushed() -> None:
    """Guards against a process that floods its peers with old records while it catches up."""
    exchange, _ = _make_exchange()
    exchange.apply_log_page(_make_page(100), now=0.0)
    assert exchange.pop_pushes() == []


def test_push_after_a_gap_triggers_a_comparison() -> None:
    """Guards against waiting for the next regular comparison although records are missing."""
    exchange, store = _make_exchange()
    other, _ = _make_exchange("a-1")
    other.apply_log_page(_make_page(3), now=0.0)
    message = other.pop_pushes()[0].message
    assert isinstance(message, ConfigRecords)
    assert exchange.handle_request(message._replace(records=message.records[1:]), now=0.0) == Ack()
    assert store.offset == -1 and exchange.pop_gap_detected() and not exchange.pop_gap_detected()
    reply = other.handle_request(exchange.make_offset_message(now=0.0), now=0.0)
    assert reply is not None
    exchange.handle_reply("a-1:1", reply, now=0.0)
    assert store.offset == 2 and not exchange.pop_gap_detected()


def test_pushes_are_ignored_until_the_initial_state_is_loaded() -> None:
    """Guards against an initial state that depends on which push arrives first."""
    exchange, store = _make_exchange()
    other, _ = _make_exchange("a-1")
    other.apply_log_page(_make_page(1), now=0.0)
    exchange.started = False
    assert exchange.handle_request(other.pop_pushes()[0].message, now=0.0) == Ack()
    assert store.offset == -1


def test_comparison_pushes_missing_records_to_a_lagging_peer() -> None:
    """Guards against a comparison that brings only its initiator up to date."""
    exchange, _ = _make_exchange()
    exchange.apply_log_page(_make_page(3), now=0.0)
    exchange.pop_pushes()
    exchange.handle_reply("b-0:1", ConfigRecords([], 0), now=0.0)
    pushes = exchange.pop_pushes()
    assert [push.address for push in pushes] == ["b-0:1"]
    message = pushes[0].message
    assert isinstance(message, ConfigRecords)
    assert [record[0] for record in message.records] == [1, 2]


def test_probe_returns_the_offset_without_records() -> None:
    """Guards against a startup that fetches whole states to find the highest offset.

    The whole state is sent on request, and to a peer that lags too far behind for records.
    """
    exchange, _ = _make_exchange()
    exchange.apply_log_page(_make_page(300), now=0.0)
    probe = exchange.handle_request(ConfigOffset(PROBE_OFFSET), now=0.0)
    assert isinstance(probe, ConfigRecords) and (probe.records, probe.offset) == ([], 299)
    state = exchange.handle_request(ConfigStateRequest(), now=0.0)
    assert isinstance(state, ConfigSnapshot)
    other, store = _make_exchange("a-1")
    other.handle_reply("a-0:1", state, now=0.0)
    assert store.offset == 299
    lagging = exchange.handle_request(ConfigOffset(0), now=0.0)
    assert isinstance(lagging, ConfigSnapshot)
    assert exchange.handle_request(Ack(), now=0.0) is None


@pytest.mark.parametrize("size", [3, 6, 95])
def test_only_designated_readers_read_the_log_after_a_recent_read(size: int) -> None:
    """Guards against every process reading the log, and against none reading it."""
    for rank, name in enumerate(_log_readers_by_rank(size)):
        exchange, _ = _make_exchange(name, size=size)
        exchange.handle_request(ConfigOffset(-1, 0), now=1.0)
        assert exchange.should_read_log(now=1.5) == (rank < LOG_READERS_PER_DC)


def test_next_in_rank_reads_the_log_when_its_readers_fail() -> None:
    """Guards against a fleet without updates because its designated readers can't reach the log."""
    exchange, _ = _make_exchange(_log_readers_by_rank(6)[2])
    exchange.handle_request(ConfigOffset(-1, 100), now=1.0)
    exchange.handle_request(ConfigOffset(-1, UNKNOWN_AGE_MS), now=1.9)
    assert not exchange.should_read_log(now=2.0)
    assert exchange.should_read_log(now=3.0)


def test_log_age_of_a_peer_with_a_higher_offset_is_ignored() -> None:
    """Guards against a process that considers itself up to date because a peer is."""
    exchange, _ = _make_exchange(_log_readers_by_rank(6)[2])
    exchange.handle_request(ConfigOffset(7, 0), now=1.0)
    assert exchange.should_read_log(now=1.0)


def test_isolated_process_reads_the_log() -> None:
    """Guards against a low-ranked process that waits for peers which it can't reach."""
    exchange, _ = _make_exchange(_log_readers_by_rank(95)[94], size=95)
    exchange.handle_request(ConfigOffset(-1, 0), now=1.0)
    assert not exchange.should_read_log(now=1.0 + ISOLATION_TIMEOUT_S)
    assert exchange.should_read_log(now=1.1 + ISOLATION_TIMEOUT_S)


def test_log_readers_have_distinct_snapshot_ranks() -> None:
    """Guards against several snapshots at a time, and against a long delay of the first one."""
    ranks = {
        snapshot_rank(Peers(hosts=_make_hosts(6), name=host.name, dc=host.dc))
        for host in _make_hosts(6)
    }
    assert set(range(2 * LOG_READERS_PER_DC)) <= ranks
