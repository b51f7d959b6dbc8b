"""Tests of the reducer: which changes are accepted, and that all processes reach equal states."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cornellead_core.config import MAX_RECENT_CHANGES
from cornellead_core.config import AuditRecord
from cornellead_core.config import ConfigState
from cornellead_core.config import Resolver
from cornellead_core.config import check_state
from cornellead_core.config import decode_state
from cornellead_core.config import digest_state
from cornellead_core.config import encode_state
from cornellead_core.config import make_snapshot
from cornellead_core.config import parse_snapshot
from cornellead_core.config import reduce_record
from cornellead_core.platform import LogRecord

DIGEST = "a" * 64


def _reduce(*values: dict[str, Any]) -> tuple[ConfigState, list[AuditRecord | None]]:
    state, audits = ConfigState(), []
    for offset, value in enumerate(values):
        state, audit = reduce_record(state, LogRecord(offset, 1000 + offset, value))
        audits.append(audit)
    return state, audits


def _change(change_id: str, base: int, **objects: Any) -> dict[str, Any]:
    named = {name.replace("__", "/"): value for name, value in objects.items()}
    return {
        "kind": "change",
        "change_id": change_id,
        "author": f"author of {change_id}",
        "base": base,
        "objects": named,
    }


def test_audit_records_author_base_and_conflicting_change() -> None:
    """Guards against an audit trail that does not explain a decision."""
    _, audits = _reduce(
        _change("1", -1, model__m={}),
        _change("2", 0, model__m={"description": "new"}),
        _change("3", 0, model__m=None),
    )
    assert [audit and audit.accepted for audit in audits] == [True, True, False]
    assert audits[1] is not None and audits[1].previous == (0,)
    rejected = audits[2]
    assert rejected is not None
    assert (rejected.author, rejected.base, rejected.winner) == ("author of 3", 0, 1)
    assert "model/m was changed by author of 2 at version 1" in rejected.reason


def test_changes_to_different_objects_do_not_conflict() -> None:
    """Guards against rejecting a change because of an unrelated one."""
    _, audits = _reduce(_change("1", -1, model__a={}), _change("2", -1, model__b={}))
    assert all(audit and audit.accepted for audit in audits)


def test_deleted_object_keeps_its_version() -> None:
    """Guards against a stale change that restores a deleted object."""
    state, audits = _reduce(
        _change("1", -1, model__m={}), _change("2", 0, model__m=None), _change("3", 0, model__m={})
    )
    assert audits[2] is not None and audits[2].winner == 1
    assert state.objects["model/m"].value is None


def test_duplicate_of_a_rejected_change_is_rejected() -> None:
    """Guards against a retried append that takes effect after its rejection was reported."""
    premature = _change("early", -1, server__s={"models": ["m"]})
    state, audits = _reduce(premature, _change("model", -1, model__m={}), premature)
    assert [audit and audit.accepted for audit in audits] == [False, True, False]
    assert "server/s" not in state.objects
    assert len(state.recent_decisions) == 2


def test_number_of_recent_changes_is_bounded() -> None:
    """Guards against a state that grows with every change."""
    state, _ = _reduce(
        *[_change(str(i), i - 1, model__m={}) for i in range(MAX_RECENT_CHANGES + 5)]
    )
    assert len(state.recent_decisions) == MAX_RECENT_CHANGES
    assert state.recent_decisions[0].offset == 5


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("change_id", ""),
        ("change_id", 7),
        ("author", None),
        ("base", "0"),
        ("base", True),
        ("base", -2),
        ("base", 1),
        ("objects", []),
        ("objects", {}),
        ("objects", {"crew/x": {}}),
        ("objects", {"model/": {}}),
        ("objects", {"model/m": []}),
        ("time", "now"),
        ("kind", "chnage"),
    ],
)
def test_malformed_records_are_rejected_with_a_reason(field: str, value: object) -> None:
    """Guards against an exception, and against a base in the future that never conflicts."""
    state, audits = _reduce({}, {**_change("1", 0, model__m={}), field: value})
    assert audits[1] is not None and not audits[1].accepted
    assert "malformed" in audits[1].reason and "use" in audits[1].reason
    assert not state.objects and state.offset == 1


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
FRAGMENTS = st.sampled_from(
    [
        "spec",
        "parameters",
        "models",
        "limits",
        "priorities",
        "services",
        "state",
        "${p}",
        "$",
        "{p}",
    ]
)
NESTED = st.recursive(
    FRAGMENTS | st.integers(-5, 5) | st.none() | st.sampled_from([DIGEST, "1h", "in", "m", "t"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(FRAGMENTS, inner, max_size=3),
    max_leaves=10,
)
TEMPLATES = st.fixed_dictionaries(
    {},
    optional={
        "parameters": st.dictionaries(st.sampled_from(["p", "q"]), NESTED, max_size=2),
        "spec": st.fixed_dictionaries(
            {
                "limits": st.fixed_dictionaries(
                    {
                        "requests_per_second": st.sampled_from([1, 2.5, "${p}", "$${q}", -1]),
                        "concurrent_requests": st.sampled_from([1, "${q}", 1.5]),
                    }
                )
            },
            optional={
                "models": st.lists(st.sampled_from(["m", "n", "${p}"])) | st.just("${q}"),
                "services": st.dictionaries(FRAGMENTS, NESTED, max_size=2),
                "priorities": NESTED,
                "load_bound": st.sampled_from([1.25, "${p}", 0.5, "x"]),
                "key_validity": st.sampled_from(["1h", "${p}", "x", 0]),
            },
        )
        | NESTED,
    },
)
TEAMS = st.fixed_dictionaries(
    {},
    optional={
        "template": st.sampled_from(["t", "u", "${p}", 1]),
        "parameters": st.dictionaries(st.sampled_from(["p", "q", "r"]), NESTED, max_size=2),
        "token_sha256": st.sampled_from([DIGEST, [DIGEST], ["b" * 64, "c" * 64], "x", [], 1]),
    },
)
OBJECTS = st.one_of(
    st.tuples(st.sampled_from(["template/t", "template/u"]), st.none() | TEMPLATES),
    st.tuples(st.sampled_from(["team/a", "team/b"]), st.none() | TEAMS),
    st.tuples(st.sampled_from(["model/m", "model/n"]), st.sampled_from([None, {}, {"x": 1}])),
    st.tuples(
        st.sampled_from(["server/s", "data_centre/d"]),
        st.sampled_from([None, {"state": "out"}, {"state": "draining"}, {"models": ["m"]}]) | JSON,
    ),
)
RECORDS = st.one_of(
    st.builds(
        lambda change_id, base, objects: {
            "kind": "change",
            "change_id": change_id,
            "author": "a",
            "base": base,
            "objects": dict(objects),
        },
        st.text("0123456789", min_size=1, max_size=3),
        st.integers(-1, 12),
        st.lists(OBJECTS, max_size=3),
    ),
    st.dictionaries(st.sampled_from(["kind", "change_id", "base", "objects", "upto"]), JSON),
)


@given(records=st.lists(RECORDS, max_size=12))
@settings(derandomize=True, max_examples=400)
def test_state_after_any_records_can_be_resolved(records: list[dict[str, Any]]) -> None:
    """Guards against accepting objects that can't be resolved, and against any exception."""
    state, _ = _reduce(*records)
    assert state.offset == len(records) - 1
    assert check_state(state) == []
    cfg = Resolver().resolve(state)
    assert cfg.offset == state.offset
    assert len(cfg.teams_by_token) == sum(len(t.token_digests) for t in cfg.teams.values())
    assert all(team.models <= cfg.models for team in cfg.teams.values())


@given(records=st.lists(RECORDS, min_size=1, max_size=12), data=st.data())
@settings(derandomize=True, max_examples=100)
def test_replay_from_a_snapshot_gives_the_same_state(
    records: list[dict[str, Any]], data: st.DataObject
) -> None:
    """Guards against different states in processes that start from the log and from a snapshot."""
    full, _ = _reduce(*records)
    split = data.draw(st.integers(1, len(records)))
    before, _ = _reduce(*records[:split])
    stored = msgspec.json.decode(msgspec.json.encode(make_snapshot(before)))
    state = parse_snapshot(stored).unwrap()
    for offset, value in enumerate(records[split:], start=split):
        state, _ = reduce_record(state, LogRecord(offset, 0, value))
    assert digest_state(state) == digest_state(full)
    assert decode_state(encode_state(full)).unwrap() == full


@given(record=RECORDS, offset=st.integers(-2, 5))
@settings(derandomize=True)
def test_only_the_next_record_is_applied(record: dict[str, Any], offset: int) -> None:
    """Guards against records that are applied twice or after a gap."""
    state, _ = _reduce({}, {}, {})
    after, _ = reduce_record(state, LogRecord(offset, 0, record))
    assert (after is state) == (offset != 3)


@pytest.mark.parametrize("field", ["state", "digest", "upto"])
def test_altered_snapshot_is_rejected(field: str) -> None:
    """Guards against starting from a corrupt snapshot."""
    state, _ = _reduce(_change("1", -1, model__m={}))
    snapshot = make_snapshot(state)
    assert parse_snapshot(snapshot).unwrap() == state
    assert parse_snapshot({**snapshot, field: None}).failure()


def test_snapshot_with_invalid_objects_is_rejected() -> None:
    """Guards against starting from objects that can't be resolved although the digest is right."""
    state, _ = _reduce(_change("1", -1, model__m={}))
    team = state.objects["model/m"]._replace(value={"template": "none", "token_sha256": DIGEST})
    broken = state._replace(objects={"team/a": team})
    assert "not valid" in parse_snapshot(make_snapshot(broken)).failure()
