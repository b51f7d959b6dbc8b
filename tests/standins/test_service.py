"""The stand-in service over HTTP."""

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
    """A service whose calls take no time."""
    with TestClient(build_app(ServiceSettings(listen="", work_s=0.0))) as client:
        yield client


def _hold(service: TestClient[Litestar], key: str) -> int:
    headers = {"idempotency-key": key, "x-request-id": f"r-{key}"}
    return service.post("/v1/hold", json={}, headers=headers).status_code


def _effects(service: TestClient[Litestar]) -> dict[str, int]:
    effects: dict[str, int] = service.get("/effects").json()["effects"]
    return effects


def test_every_call_counts(service: TestClient[Litestar]) -> None:
    """Guards against a stand-in that hides duplicates by recognising keys itself."""
    assert [_hold(service, "a"), _hold(service, "a"), _hold(service, "b")] == [200] * 3
    assert _effects(service) == {"hold/a": 2, "hold/b": 1}


@pytest.mark.parametrize(
    ("fault", "status", "effects"),
    [("error_before", 500, {}), ("error_after", 500, {"hold/a": 1})],
)
def test_errors_before_and_after_the_effect(
    service: TestClient[Litestar], fault: str, status: int, effects: dict[str, int]
) -> None:
    """Guards against faults whose effect is not what the test of a guarantee relies on."""
    service.put("/faults", json={fault: 1.0})
    assert _hold(service, "a") == status
    assert _effects(service) == effects


def test_cut_answer_is_shorter_than_declared(service: TestClient[Litestar]) -> None:
    """Guards against a cut answer that looks complete."""
    service.put("/faults", json={"cut_after": 1.0})
    try:
        resp = service.post("/v1/hold", json={}, headers={"idempotency-key": "a"})
    except httpx.HTTPError:
        pass
    else:
        assert len(resp.content) < int(resp.headers["content-length"])
    assert _effects(service) == {"hold/a": 1}
