"""The store: order of records, notification and records for peers."""

from __future__ import annotations

from typing import Any

import pytest

from cornellead_core.blackboard import Blackboard
from cornellead_core.config import digest_state
from cornellead_core.config import make_snapshot
from cornellead_core.distribution import ConfigStore
from cornellead_core.distribution._config_store import KEPT_RECORDS
from cornellead_core.distribution._config_store import decode_envelope
from cornellead_core.distribution._config_store import decode_records
from cornellead_core.distribution._config_store import encode_envelope
from cornellead_core.facts import CONFIG
from cornellead_core.platform import LogRecord


def _record(offset: int, **objects: Any) -> LogRecord:
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
    """Return a store that publishes."""
    store = ConfigStore(board=Blackboard())
    store.publish()
    return store


def test_records_apply_in_order_only(store: ConfigStore) -> None:
    """Guards against repeated, reordered or missing records."""
    records = [_record(0, a={}), _record(1, b={}), _record(2, c={})]
    assert store.apply([records[1]]) == []
    assert store.apply([records[0], records[0], records[2], records[1]]) == [records[0], records[1]]
    assert store.apply(records) == [records[2]]
    assert store.offset == 2


def test_fact_is_held_back_until_published() -> None:
    """Guards against a starting process that acts on the first state it finds."""
    board = Blackboard()
    store = ConfigStore(board=board)
    store.apply([_record(0, a={})])
    assert board.read(CONFIG).offset == -1
    store.publish()
    assert board.read(CONFIG).offset == 0
    store.apply([_record(1, a={})])
    assert board.read(CONFIG).offset == 1


def test_older_state_is_not_adopted(store: ConfigStore) -> None:
    """Guards against a late answer that brings an old configuration back."""
    store.apply([_record(0, a={})])
    old = store.state
    store.apply([_record(1, a=None)])
    assert not store.adopt(old, needed_since_ms=0)
    assert not store.adopt(store.state, needed_since_ms=0)
    assert store.offset == 1


def test_records_for_peers(store: ConfigStore) -> None:
    """Guards against records for a peer that do not continue its state."""
    store.apply([_record(offset, m={}) for offset in range(KEPT_RECORDS + 10)])
    assert store.records_above(store.offset, max_bytes=0) == []
    assert store.records_above(1 << 62, max_bytes=0) == []
    assert store.records_above(5, max_bytes=1 << 20) is None
    assert store.records_above(store.offset - 5, max_bytes=10) is None
    records = store.records_above(9, max_bytes=1 << 20)
    assert records is not None
    decoded = decode_records(records)
    assert [record.offset for record in decoded] == list(range(10, KEPT_RECORDS + 10))
    assert decoded[0] == _record(10, m={})


def test_malformed_records_of_a_peer_end_the_run() -> None:
    """Guards against an exception, or a gap where a record could not be read."""
    assert decode_records([(0, 0, b"{}"), (1, 0, b"["), (2, 0, b"{}")]) == [LogRecord(0, 0, {})]


def test_envelope(store: ConfigStore) -> None:
    """Guards against a state that arrives changed, or an invalid one that is adopted."""
    store.apply([_record(0, a={})])
    envelope = decode_envelope(encode_envelope(store))
    assert envelope is not None
    assert (envelope.state, envelope.needed_since_ms) == (store.state, 0)
    assert decode_envelope(b"{}") is None
    broken = encode_envelope(store).replace(b"model/a", b"crew/a")
    assert decode_envelope(broken) is None


def test_valid_snapshot_replaces_older_records(store: ConfigStore) -> None:
    """Guards against snapshots that are appended again and again, or too late."""
    store.apply([_record(1, a={})])
    store.apply([_record(0, a={}), _record(1, a={})])
    snapshot = make_snapshot(store.state)
    store.apply([_record(2, b={}), LogRecord(3, 3000, snapshot)])
    assert store.needed_since_ms == 2000
    store.apply([LogRecord(4, 4000, make_snapshot(store.state))])
    assert store.needed_since_ms == 4000
    stub = store.records_above(3, max_bytes=1 << 20)
    assert stub is not None and len(stub[0].value) < 200


@pytest.mark.parametrize("field", ["state", "digest", "upto"])
@pytest.mark.parametrize("value", [None, "x", True, 0])
def test_wrong_snapshot_changes_nothing(store: ConfigStore, field: str, value: object) -> None:
    """Guards against records that are dropped although only a wrong snapshot replaces them."""
    store.apply([_record(0, a={}), _record(1, b={})])
    before = store.state
    store.apply([LogRecord(2, 2000, {**make_snapshot(store.state), field: value})])
    assert (store.needed_since_ms, store.snapshots_ignored) == (0, 1)
    assert store.state == before._replace(offset=2)


def test_digest_from_a_peer_needs_a_proper_offset(store: ConfigStore) -> None:
    """Guards against an offset of true, which equals 1, in a snapshot that a peer passes on."""
    store.apply([_record(0, a={}), _record(1, b={})])
    stub = {"kind": "snapshot", "upto": True, "digest": digest_state(store.state)}
    store.apply([LogRecord(2, 2000, stub)], from_peer=True)
    assert (store.needed_since_ms, store.snapshots_ignored) == (0, 1)
    store.apply([LogRecord(3, 3000, {**stub, "upto": 1})], from_peer=True)
    assert store.needed_since_ms == 2000
