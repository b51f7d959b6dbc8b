"""Records of rollouts in the store: orders, the routers' state, and the status for operators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest
from returns.result import Failure
from tests.platform_adapter import payloads

from cornellead_core.routing import Position
from cornellead_core.routing import RolloutNotice
from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RolloutOrderNotice
from cornellead_core.routing import RolloutPhase
from cornellead_core.routing import RolloutRecord
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from tests.platform_adapter.fake_store import FakeStore

    from cornellead_platform import StoreClient

    Store = tuple[FakeStore, StoreClient]

ORDER = {"service": "llm", "to": "v2", "duration_s": 60}
RECORD = RolloutRecord(3, "v2", RolloutPhase.RUNNING, 0.025, 1.5, announced=False)


async def test_order_has_the_same_identity_however_it_is_read(store: Store) -> None:
    """Guards against routers that take one order for two, and each other's counts for foreign."""
    fake_store, client = store
    fake_store.put("keyed.op", "evacuate/kgl-a", {})
    fake_store.put("keyed.op", "rollout/llm", ORDER)
    newest = (await client.read_newest(Topic.OPERATOR)).unwrap()
    later = await client.read_after(Topic.OPERATOR, position=Position(0), wait_s=0.0)
    expected = RolloutOrderNotice("llm", RolloutOrder("llm", "v2", 60.0, order_id=1))
    assert newest.notices[-1] == later.unwrap().notices[-1] == expected


async def test_withdrawn_order_is_told(store: Store) -> None:
    """Guards against a rollout that goes on after its order was removed."""
    fake_store, client = store
    fake_store.put("keyed.op", "rollout/llm", None)
    batch = await client.read_after(Topic.OPERATOR, position=Position(0), wait_s=0.0)
    assert batch.unwrap().notices == [RolloutOrderNotice("llm", None)]


@pytest.mark.parametrize(
    "value",
    [
        {**ORDER, "duration_s": -1},
        {**ORDER, "duration_s": "long"},
        {**ORDER, "to": ""},
        {**ORDER, "to": 2},
        {**ORDER, "service": "other"},
        {**ORDER, "speed": 3},
        {"to": "v2"},
        [],
        7,
    ],
)
async def test_bad_order_is_reported_and_ignored(store: Store, value: object) -> None:
    """Guards against a reader that fails, or a rollout that begins, with an odd order."""
    fake_store, client = store
    fake_store.put("keyed.op", "rollout/llm", value)
    batch = (await client.read_newest(Topic.OPERATOR)).unwrap()
    assert batch.notices == []
    assert [record.key for record in batch.unreadable] == ["rollout/llm"]


async def test_state_is_appended_only_at_the_end_it_was_decided_on(store: Store) -> None:
    """Guards against a router that overwrites a decision that it has not read."""
    _, client = store
    assert (await client.append_rollout("llm", RECORD, at=0)).unwrap()
    assert not (await client.append_rollout("llm", RECORD, at=0)).unwrap()
    batch = (await client.read_newest(Topic.ROLLOUTS)).unwrap()
    assert batch.notices == [RolloutNotice("llm", RECORD)]
    assert batch.next_offset == 1


async def test_status_names_state_and_version(store: Store) -> None:
    """Guards against operators who are told a phase that they do not know."""
    fake_store, client = store
    for phase in (RolloutPhase.RUNNING, RolloutPhase.MOVING, RolloutPhase.ROLLED_BACK):
        (await client.publish_rollout_status("llm", RECORD._replace(phase=phase))).unwrap()
        status = msgspec.json.decode(fake_store.newest("keyed.status")["rollout/llm"])
        told = "running" if phase is RolloutPhase.MOVING else phase.value
        assert status == {"state": told, "to": "v2"}


async def test_failed_calls_are_errors(store: Store) -> None:
    """Guards against a rollout that counts as told while the store is down."""
    fake_store, client = store
    fake_store.down = True
    results = await asyncio.gather(
        client.append_rollout("llm", RECORD, at=0), client.publish_rollout_status("llm", RECORD)
    )
    assert all(isinstance(result, Failure) for result in results)


@pytest.mark.parametrize(
    "value",
    [
        {**RECORD._asdict(), "phase": "odd"},
        {**RECORD._asdict(), "share": 2},
        {**RECORD._asdict(), "elapsed_s": -1},
        {},
    ],
)
async def test_odd_state_is_reported_and_ignored(store: Store, value: object) -> None:
    """Guards against a share above 1 or a phase without a meaning."""
    fake_store, client = store
    fake_store.put("keyed.rollouts", "rollout/llm", value)
    batch = (await client.read_newest(Topic.ROLLOUTS)).unwrap()
    assert batch.notices == [] and len(batch.unreadable) == 1


@pytest.mark.parametrize(
    ("version", "expected"), [("v2", "v2"), (None, ""), (7, ""), ("x" * 300, ""), ("a\n", "")]
)
async def test_server_with_any_version_is_served(
    store: Store, version: object, expected: str
) -> None:
    """Guards against a server that is lost because its version is odd."""
    fake_store, client = store
    fake_store.put("keyed.servers", "s1", {**payloads.server_entry(), "version": version})
    (notice,) = (await client.read_newest(Topic.SERVERS)).unwrap().notices
    assert isinstance(notice, ServerNotice) and notice.entry is not None
    assert notice.entry.version == expected
