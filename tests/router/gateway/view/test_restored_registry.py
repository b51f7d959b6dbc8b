"""Tests of server entries that a store lost, or holds in an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from tests.router.gateway.builders import make_entry

from cornellead.gateway.view import ServerRegistry
from cornellead.gateway.view._server_registry import EXPIRY_GRACE_S
from cornellead.gateway.view._store_history import SETTLE_S

if TYPE_CHECKING:
    from cornellead_core.routing import ServerEntry

BORN = 1_790_000_000_000


def _entry(server: str = "s1", **changes: Any) -> ServerEntry:
    return make_entry(server, **{"started_ms": BORN, **changes})


def _usable(registry: ServerRegistry) -> list[str]:
    return sorted(state.entry.server for state in registry.usable("llm"))


@pytest.mark.parametrize("sequence", [0, 4])
def test_copy_does_not_make_a_draining_server_ready_again(sequence: int) -> None:
    """Guards against requests to a server that is leaving, with and without numbered entries."""
    registry = ServerRegistry()
    registry.put(_entry(draining=True, sequence=7 if sequence else 0), now=0.0)
    registry.mark_store_restored(now=1.0)
    registry.replace_all([_entry(sequence=sequence)], now=1.0)
    assert _usable(registry) == []
    registry.put(_entry(started_ms=BORN + 1, sequence=1), now=2.0)
    assert _usable(registry) == ["s1"]


@pytest.mark.parametrize("sequence", [0, 4])
def test_copy_does_not_bring_back_a_server_that_was_removed(sequence: int) -> None:
    """Guards against requests to a server that left after the copy was made."""
    registry = ServerRegistry()
    registry.put(_entry(sequence=sequence), now=0.0)
    assert registry.remove("s1", now=0.5) is not None
    registry.mark_store_restored(now=1.0)
    registry.replace_all([_entry(sequence=sequence)], now=1.0)
    assert _usable(registry) == []
    registry.put(_entry(sequence=8), now=2.0)
    assert _usable(registry) == ["s1"]


def test_copy_does_not_bring_back_an_earlier_start_of_a_server() -> None:
    """Guards against an entry of the copy that ends the server's present incarnation."""
    registry = ServerRegistry()
    registry.put(_entry(started_ms=BORN + 5, sequence=2), now=0.0)
    registry.mark_store_restored(now=1.0)
    registry.replace_all([_entry(sequence=90)], now=1.0)
    state = registry.get("s1")
    assert state is not None and state.entry.started_ms == BORN + 5


def test_server_that_registered_after_the_copy_has_time_to_write_again() -> None:
    """Guards against all requests of a new service being refused until its servers write again."""
    registry = ServerRegistry()
    registry.replace_all([_entry("s1"), _entry("s2"), _entry("s3")], now=0.0)
    registry.mark_store_restored(now=1.0)
    registry.replace_all([_entry("s1")], now=1.0)
    registry.put(_entry("s2", sequence=3), now=2.0)
    assert _usable(registry) == ["s1", "s2", "s3"]
    registry.remove_expired(now=1.0 + EXPIRY_GRACE_S)
    assert _usable(registry) == ["s1", "s2"]


def test_older_entry_of_the_same_start_is_not_used() -> None:
    """Guards against a server that is taken for ready by an entry from before it was draining."""
    registry = ServerRegistry()
    registry.put(_entry(draining=True, sequence=7), now=0.0)
    registry.put(_entry(sequence=6), now=0.1)
    assert _usable(registry) == []


def test_counts_of_a_restarted_server_start_anew() -> None:
    """Guards against a restarted server that gets nothing until its counts have caught up, also if
    its clock went back."""
    registry = ServerRegistry()
    registry.put(_entry(draining=True, sequence=7), now=0.0)
    registry.put(_entry(started_ms=BORN - 1, sequence=1), now=0.1)
    assert _usable(registry) == ["s1"]
    registry.put(_entry("s2", started_ms=0, sequence=7), now=0.1)
    registry.put(_entry("s2", started_ms=0, sequence=1, draining=True), now=0.2)
    assert _usable(registry) == ["s1"]


def test_settled_store_counts_alone() -> None:
    """Guards against a server that stays out for good though the store lists it as ready."""
    registry = ServerRegistry()
    registry.put(_entry(draining=True), now=0.0)
    registry.mark_store_restored(now=1.0)
    registry.put(_entry(), now=2.0)
    assert _usable(registry) == []
    registry.put(_entry(), now=1.1 + SETTLE_S)
    assert _usable(registry) == ["s1"]
