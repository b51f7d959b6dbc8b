"""HTTP interface and log store of the stand-in platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from hypothesis import given
from hypothesis import seed
from hypothesis import strategies as st
from litestar.testing import TestClient

from cornellead_standins.platform import LogStore
from cornellead_standins.platform import PlatformSettings
from cornellead_standins.platform import _app
from cornellead_standins.platform import build_app

if TYPE_CHECKING:
    from collections.abc import Iterator

    from litestar import Litestar


@pytest.fixture
def platform(monkeypatch: pytest.MonkeyPatch) -> Iterator[TestClient[Litestar]]:
    """Platform that allows 5 appends and 1 weight fetch per second; the host list has no lag."""
    monkeypatch.setattr(_app, "LOST_ANSWER_DELAY_S", 0.01)
    settings = PlatformSettings(
        listen="", appends_per_s=5.0, weight_fetches_per_s=1.0, host_lag_s=0.0
    )
    with TestClient(build_app(settings)) as client:
        yield client


def _append(platform: TestClient[Litestar], *values: int) -> int:
    records = [{"value": value} for value in values]
    return platform.post("/log/s", json={"records": records}).status_code


def _values(platform: TestClient[Litestar], **params: int) -> list[int]:
    page = platform.get("/log/s", params={"from": 0, **params}).json()
    return [record[2]["value"] for record in page["records"]]


@seed(1)
@given(
    appends=st.lists(st.tuples(st.integers(0, 4), st.integers(0, 5)), max_size=20),
    limit=st.integers(1, 7),
)
def test_reader_gets_each_retained_record_once(appends: list[tuple[int, int]], limit: int) -> None:
    """Guards against offsets that change when expired records are dropped."""
    store = LogStore(retention_s=6.0, retention_records=15)
    now_ms, stored = 0, 0
    for count, pause_s in appends:
        now_ms += pause_s * 1000
        values: list[dict[str, Any]] = [{"n": stored + i} for i in range(count)]
        assert store.append("s", values, time_ms=now_ms) == stored
        stored += count
    seen, next_offset = [], 0
    while True:
        page = store.read("s", from_offset=next_offset, limit=limit, time_ms=now_ms)
        next_offset = page["next"]
        if not page["records"]:
            break
        seen += [(record.offset, record.value["n"]) for record in page["records"]]
    assert seen == [(n, n) for n in range(page["oldest"], stored)]
    assert page["end"] == next_offset == stored


def test_append_rate_is_limited(platform: TestClient[Litestar]) -> None:
    """Guards against a log without a rate limit, which would hide clients that exceed it."""
    assert [_append(platform, n) for n in range(6)] == [200] * 5 + [429]
    assert _values(platform) == list(range(5))


def test_append_during_outage_is_not_stored(platform: TestClient[Litestar]) -> None:
    """Guards against records that are stored although the log responded with status 503."""
    platform.put("/faults", json={"log_outage": True})
    assert _append(platform, 1) == 503
    assert platform.get("/log/s").status_code == 503
    platform.put("/faults", json={})
    assert _values(platform) == []


def test_log_that_came_back_from_a_copy_names_a_later_era(platform: TestClient[Litestar]) -> None:
    """Guards against a restored log that its readers cannot tell from the one before."""
    _append(platform, 1)
    platform.put("/copy")
    _append(platform, 2)
    before = platform.get("/log/s").json()
    platform.post("/restore")
    after = platform.get("/log/s").json()
    _append(platform, 3)
    assert _values(platform) == [1, 3]
    assert (before["end"], before["era"], before["restored_ms"]) == (2, 0, 0)
    assert (after["end"], after["era"]) == (1, 1)
    assert before["time_ms"] <= after["restored_ms"] <= after["time_ms"]


@pytest.mark.parametrize("late_s", [0.0, 0.05])
def test_append_with_lost_response_is_stored(platform: TestClient[Litestar], late_s: float) -> None:
    """Guards against a fault ``lost_answers`` that drops the append as well."""
    platform.put("/faults", json={"lost_answers": 1.0, "late_append_s": late_s})
    assert _append(platform, 1) == 504
    assert _values(platform, wait_ms=5000) == [1]


def test_host_list_reflects_changes_lag_and_outage(platform: TestClient[Litestar]) -> None:
    """Guards against a host list that loses entries or ignores the faults set."""
    platform.put("/hosts/a", json={"dc": "x"})
    platform.put("/hosts/b", json={"dc": "y"})
    platform.delete("/hosts/a")
    assert platform.get("/hosts").json() == {"hosts": [{"dc": "y", "name": "b"}]}
    platform.put("/faults", json={"host_lag_s": 3600.0})
    assert platform.get("/hosts").json() == {"hosts": []}
    platform.put("/faults", json={"hosts_outage": True})
    assert platform.get("/hosts").status_code == 503


def test_weights_are_rate_limited(platform: TestClient[Litestar]) -> None:
    """Guards against a weight store that all engines can read at the same time."""
    assert platform.get("/weights/chat/v1").status_code == 200
    assert platform.get("/weights/chat/v1").status_code == 429
