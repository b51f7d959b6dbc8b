"""Store of the soak test that comes back from a copy some seconds old."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from tests.platform_adapter.fake_store import FakeStore

MAX_COPY_AGE_S = 8.0
MAX_OUTAGE_S = 0.6
MAX_REWRITE_DELAY_S = 0.3
"""Maximum time until the next lost record is written again."""
REWRITTEN_TOPICS = ("keyed.op", "keyed.servers")
"""Topics of operators and servers; nobody writes again what routers wrote."""


class RestoredStore:
    """Takes copies of the store and lets it come back from them.

    :param on_disturbance: Called when the store goes away and when all is written again.
    """

    def __init__(
        self, *, store: FakeStore, rng: random.Random, on_disturbance: Callable[[], None]
    ) -> None:
        self._store = store
        self._rng = rng
        self._on_disturbance = on_disturbance
        self._copy = store.copy()
        self._copied_at = float("-inf")

    async def inject(self) -> str:
        """Take a copy, or come back from the last one and write lost records again."""
        age_s = time.monotonic() - self._copied_at
        if age_s > MAX_COPY_AGE_S:
            self._copy = self._store.copy()
            self._copied_at = time.monotonic()
            return "store copied"
        was_down = self._store.down
        self._on_disturbance()
        self._store.down = True
        await asyncio.sleep(self._rng.uniform(0.0, MAX_OUTAGE_S))
        lost = {topic: self._store.newest(topic) for topic in REWRITTEN_TOPICS}
        self._store.restore(self._copy)
        self._store.down = was_down
        await self._write_again(lost)
        self._on_disturbance()
        return f"store back from a copy {age_s:.1f} s old"

    async def _write_again(self, lost: dict[str, dict[str, bytes]]) -> None:
        records: list[tuple[str, str, bytes]] = []
        for topic, values in lost.items():
            copied = self._store.newest(topic)
            for key in sorted(values.keys() | copied.keys()):
                value = values.get(key, b"")
                if value != copied.get(key, b""):
                    records.append((topic, key, value))
        self._rng.shuffle(records)
        for topic, key, value in records:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_REWRITE_DELAY_S))
            self._store.put_raw(topic, key, value)
