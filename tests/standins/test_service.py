"""HTTP interface of the stand-in service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest
from litestar.testing import TestClient

from cornellead_standins.service import ServiceSettings
from cornellead_standins.service import build_app

if TYPE_CHECKING:
    from collections.abc import Iterator

    from litestar import Litestar


@pytest.fixture
def service() -> Iterator[TestClient[Litestar]]:
    """Service whose calls take no time."""
    with TestClient(build_app(ServiceSettings(listen="", work_s=0.0))) as client:
        yield client


def _hold(service: TestClient[Litestar], key: str) -> int:
    headers = {"idempotency-key": key, "x-request-id": f"r-{key}"}
    return service.post("/v1/hold", json={}, headers=headers).status_code


def _effects(service: TestClient[Litestar]) -> dict[str, int]:
    effects: dict[str, int] = service.get("/effects").json()["effects"]
    return effects


def test_calls_with_equal_keys_are_counted_separately(service: TestClient[Litestar]) -> None:
    """Guards against a stand-in that deduplicates keys and so hides duplicate calls."""
    assert [_hold(service, "a"), _hold(service, "a"), _hold(service, "b")] == [200] * 3
    assert _effects(service) == {"hold/a": 2, "hold/b": 1}


@pytest.mark.parametrize(
    ("fault", "status", "effects"),
    [("error_before", 500, {}), ("error_after", 500, {"hold/a": 1})],
)
def test_error_faults_fail_before_or_after_the_effect(
    service: TestClient[Litestar], fault: str, status: int, effects: dict[str, int]
) -> None:
    """Guards against ``error_before`` with an effect and ``error_after`` without one."""
    service.put("/faults", json={fault: 1.0})
    assert _hold(service, "a") == status
    assert _effects(service) == effects


def test_truncated_response_is_shorter_than_content_length(service: TestClient[Litestar]) -> None:
    """Guards against a truncated response that looks complete."""
    service.put("/faults", json={"cut_after": 1.0})
    try:
        resp = service.post("/v1/hold", json={}, headers={"idempotency-key": "a"})
    except httpx.HTTPError:
        pass
    else:
        assert len(resp.content) < int(resp.headers["content-length"])
    assert _effects(service) == {"hold/a": 1}
