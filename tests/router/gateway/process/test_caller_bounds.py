"""Bounds on callers that are derived from the settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest
from returns.result import Success
from tests.platform_adapter import payloads

from cornellead.gateway.process._caller_bounds import CALLER_DESCRIPTOR_SHARE
from cornellead.gateway.process._caller_bounds import find_bounds
from cornellead.gateway.process._caller_bounds import find_budget_bytes
from cornellead_core.buffers import MAX_BUFFERED_BYTES
from cornellead_platform import load_node_settings

if TYPE_CHECKING:
    from pathlib import Path

MB = 1 << 20


@pytest.mark.parametrize(
    ("changes", "budget_bytes", "bounds"),
    [
        ({}, MAX_BUFFERED_BYTES, (614, 552, 20.0)),
        ({"limits": {"memory_mb": 152, "max_fds": 1535}}, 38 * MB, (921, 828, 20.0)),
        (
            {
                "limits": {"memory_mb": 152, "max_fds": 1535},
                "callers": {
                    "memory_mb": 20,
                    "connections": 500,
                    "connections_per_address": 100,
                    "unread_timeout_s": 5,
                },
            },
            20 * MB,
            (500, 100, 5.0),
        ),
        ({"callers": {"connections": 5000}}, MAX_BUFFERED_BYTES, (614, 552, 20.0)),
    ],
)
def test_bounds_follow_host_and_settings(
    tmp_path: Path, changes: dict[str, Any], budget_bytes: int, bounds: tuple[int, int, float]
) -> None:
    """Guards against bounds above what a host has, or below 200 callers with four connections."""
    path = tmp_path / "boot.json"
    path.write_bytes(msgspec.json.encode(payloads.node_settings("127.0.0.1:1", **changes)))
    loaded = load_node_settings(str(path))
    assert isinstance(loaded, Success)
    settings = loaded.unwrap()
    assert find_budget_bytes(settings) == budget_bytes
    assert find_bounds(settings, CALLER_DESCRIPTOR_SHARE) == bounds
