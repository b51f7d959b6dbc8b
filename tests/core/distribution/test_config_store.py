"""Tests of the config store: order of records, publication and the records kept for peers."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from cornellead_core.blackboard import Blackboard
from cornellead_core.config import digest_state
from cornellead_core.config import make_snapshot
from cornellead_core.distribution import ConfigStore
from cornellead_core.distribution._config_store import MAX_CACHED_RECORDS
from cornellead_core.distribution._config_store import decode_envelope
from cornellead_core.distribution._config_store import decode_records
from cornellead_core.distribution._config_store import encode_envelope
from cornellead_core.facts import CONFIG
from cornellead_core.platform import LogRecord


def _make_record(offset: int, **objects: Any) -> LogRecord:
    value = {
        "kind": "change",
        "change_id": str(offset),
        "author": "a",
        "base": offset - 1,
        "objects": {f"model/{name}": value for name, value in objects.items()},
    }
    return LogRecord(offset, 1000 * offset, value)


@pytest.fixture
def store() -> ConfigStore:
    """Return a store that publishes every change."""
    store = ConfigStore(board=Blackboard())
    store.publish()
    return store


def test_records_are_applied_only_in_order(store: ConfigStore) -> None:
    """Guards against applying repeated or reordered records, or records after a gap."""
    records = [_make_record(0, a={}), _make_record(1, b={}), _make_record(2, c={})]
    assert store.apply([records[1]]) == []
    assert store.apply([records[0], records[0], records[2], records[1]]) == [records[0], records[1]]
    assert store.apply(records) == [records[2]]
    assert store.offset == 2


def test_fact_is_not_written_before_publish() -> None:
    """Guards against a starting process that acts on the first state it receives."""
    board = Blackboard()
    store = ConfigStore(board=board)
    store.apply([_make_record(0, a={})])
    assert board.read(CONFIG).offset == -1
    store.publish()
    assert board.read(CONFIG).offset == 0
    store.apply([_make_record(1, a={})])
    assert board.read(CONFIG).offset == 1


def test_older_state_is_not_adopted(store: ConfigStore) -> None:
    """Guards against a delayed reply that restores an old configuration."""
    store.apply([_make_record(0, a={})])
    old = store.state
    store.apply([_make_record(1, a=None)])
    assert not store.adopt(old, oldest_needed_ms=0)
    assert not store.adopt(store.state, oldest_needed_ms=0)
    assert store.offset == 1


def test_records_for_a_peer_start_after_its_offset(store: ConfigStore) -> None:
    """Guards against sending a peer records that do not follow its state."""
    store.apply([_make_record(offset, m={}) for offset in range(MAX_CACHED_RECORDS + 10)])
    assert store.records_after(store.offset, max_bytes=0) == []
    assert store.records_after(1 << 62, max_bytes=0) == []
    assert store.records_after(5, max_bytes=1 << 20) is None
    assert store.records_after(store.offset - 5, max_bytes=10) is None
    records = store.records_after(9, max_bytes=1 << 20)
    assert records is not None
    decoded = decode_records(records)
    assert [record.offset for record in decoded] == list(range(10, MAX_CACHED_RECORDS + 10))
    assert decoded[0] == _make_record(10, m={})


def test_peer_records_after_a_malformed_one_are_dropped() -> None:
    """Guards against an exception, and against a gap where a record could not be decoded."""
    assert decode_records([(0, 0, b"{}"), (1, 0, b"["), (2, 0, b"{}")]) == [LogRecord(0, 0, {})]


def test_envelope_round_trip_and_validation(store: ConfigStore) -> None:
    """Guards against a state that is altered in transit, and against adopting an invalid one."""
    store.apply([_make_record(0, a={})])
    envelope = decode_envelope(encode_envelope(store))
    assert envelope is not None
    assert (envelope.state, envelope.oldest_needed_ms) == (store.state, 0)
    assert decode_envelope(b"{}") is None
    broken = encode_envelope(store).replace(b"model/a", b"crew/a")
    assert decode_envelope(broken) is None


def test_valid_snapshot_supersedes_older_records(store: ConfigStore) -> None:
    """Guards against snapshots that are appended repeatedly, or too late."""
    store.apply([_make_record(1, a={})])
    store.apply([_make_record(0, a={}), _make_record(1, a={})])
    snapshot = make_snapshot(store.state)
    store.apply([_make_record(2, b={}), LogRecord(3, 3000, snapshot)])
    assert store.oldest_needed_ms == 2000
    store.apply([LogRecord(4, 4000, make_snapshot(store.state))])
    assert store.oldest_needed_ms == 4000
    stripped = store.records_after(3, max_bytes=1 << 20)
    assert stripped is not None and len(stripped[0].value) < 200


@pytest.mark.parametrize("field", ["state", "digest", "upto"])
@pytest.mark.parametrize("value", [None, "x", True, 0])
def test_malformed_snapshot_is_ignored(store: ConfigStore, field: str, value: object) -> None:
    """Guards against dropping records that only an invalid snapshot covers."""
    store.apply([_make_record(0, a={}), _make_record(1, b={})])
    before = store.state
    store.apply([LogRecord(2, 2000, {**make_snapshot(store.state), field: value})])
    assert (store.oldest_needed_ms, store.snapshots_ignored) == (0, 1)
    assert store.state == before._replace(offset=2)


def test_peer_snapshot_with_a_boolean_offset_is_ignored(store: ConfigStore) -> None:
    """Guards against the offset ``true``, which equals 1, in a snapshot that a peer sends."""
    store.apply([_make_record(0, a={}), _make_record(1, b={})])
    stripped = {"kind": "snapshot", "upto": True, "digest": digest_state(store.state)}
    store.apply([LogRecord(2, 2000, stripped)], from_peer=True)
    assert (store.oldest_needed_ms, store.snapshots_ignored) == (0, 1)
    store.apply([LogRecord(3, 3000, {**stripped, "upto": 1})], from_peer=True)
    assert store.oldest_needed_ms == 2000


def test_envelope_of_the_first_era_is_read_by_earlier_versions(store: ConfigStore) -> None:
    """Guards against a rollout in which processes of two versions cannot exchange states."""
    store.apply([_make_record(0)])
    assert len(msgspec.json.decode(encode_envelope(store))) == 2
    store.begin_era(1, restored_ms=7)
    envelope = decode_envelope(encode_envelope(store))
    assert envelope is not None and envelope.restored.time_ms == 7
