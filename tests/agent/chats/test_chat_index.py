"""Chat index, its cache events and the admission of returning chats."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from cornellead_agent.admission import AdmissionRequest
from cornellead_agent.chats import ChatIndex
from cornellead_agent.chats._chat_index import MAX_CHATS
from cornellead_agent.chats._chat_index import MAX_HINT_AGE_S
from cornellead_agent.engine import CacheEvent
from cornellead_agent.engine import CachePage
from cornellead_agent.engine import apply_events
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind

if TYPE_CHECKING:
    from tests.agent.harness import Harness

CHAT = 0xAB
RETURNING = AdmissionRequest(returning=True)


def test_index_and_hints_are_bounded() -> None:
    """Guards against memory that grows with the number of chats."""
    index = ChatIndex()
    for chat in range(MAX_CHATS + 5):
        index.touch(chat, now=0.0)
    assert len(index) == MAX_CHATS
    assert not index.holds(4)
    index.add_hint(CHAT, "b", now=0.0)
    assert index.find_hint(CHAT, now=MAX_HINT_AGE_S + 1) == ""


def test_cache_events_update_the_index() -> None:
    """Guards against chats that stay in the index after the engine evicted their cache."""
    index = ChatIndex()
    index.touch(CHAT, now=0.0)
    index.add_hint(7, "b", now=0.0)
    events = [
        CacheEvent(1, "removed", f"{CHAT:016x}"),
        CacheEvent(2, "stored", "0000000000000007"),
        CacheEvent(3, "stored", "0000000000000009"),
        CacheEvent(4, "stored", "not a chat"),
    ]
    apply_events(CachePage(events, 5, 1), index, now=1.0)
    assert (index.holds(CHAT), index.holds(7), index.holds(9)) == (False, False, True)
    assert index.find_hint(7, now=1.0) == "b"


@pytest.mark.parametrize(
    ("cached", "hinted", "started_at", "request_", "reason"),
    [
        (True, False, 0.0, RETURNING, None),
        (False, True, 0.0, RETURNING, "moved"),
        (False, True, 0.0, RETURNING._replace(adopt=True), None),
        (False, True, 0.0, RETURNING._replace(returning=False), None),
        (False, False, 0.0, RETURNING, None),
        (False, False, 900.0, RETURNING, "no_cache"),
        (False, False, 900.0, RETURNING._replace(adopt=True), None),
        (False, False, 900.0, RETURNING._replace(returning=False), None),
    ],
)
async def test_returning_chat_is_admitted_where_its_cache_is(
    harness: Harness,
    cached: bool,
    hinted: bool,
    started_at: float,
    request_: AdmissionRequest,
    reason: str | None,
) -> None:
    """Guards against recomputing prompts without need and against chats that no server admits."""
    host = HostEntry("b", HostKind.AGENT, "r", "dc0", "", "", models=("chat",))
    harness.board.write(HOSTS, (host,))
    harness.admission._started_at = started_at
    if cached:
        harness.chats.touch(CHAT, now=1000.0)
    if hinted:
        harness.chats.add_hint(CHAT, "b", now=1000.0)
    refusal = harness.admission.admit(request_, chat=CHAT, now=1000.0)
    assert (None if refusal is None else refusal.reason.value) == reason
    if reason == "moved":
        assert refusal is not None
        assert refusal.hint == "b"
