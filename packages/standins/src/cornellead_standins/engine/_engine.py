"""State of the stand-in engine and the loop that advances it."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_standins.engine._batch import Batch
from cornellead_standins.engine._cache_feed import CacheFeed
from cornellead_standins.engine._prefix_cache import CacheChange
from cornellead_standins.engine._prefix_cache import PrefixCache
from cornellead_standins.engine._sequence import Sequence
from cornellead_standins.engine._settings import EngineFaults
from cornellead_standins.engine._stream import Stream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornellead_standins.engine._sequence import ChatBody
    from cornellead_standins.engine._settings import EngineSettings

COLD_CRASH_FACTOR = 2
"""A cold engine crashes when its load and recent rejections exceed this multiple of its limit."""
MAX_LOAD_CHANGES = 500_000
MAX_STEP_LAG_S = 0.05
"""Lag behind schedule that the step loop makes up for.

After a larger lag, on a busy host, the schedule restarts at the current time, because making up for
it would generate tokens in a burst.
"""
REJECTION_WINDOW_S = 1.0
"""Time during which rejected requests count towards the crash of a cold engine."""
HOUSEKEEPING_INTERVAL_S = 0.05
MAX_LOAD_SAMPLES = 200
"""Load samples kept for the lagged load report; 10 s at the housekeeping interval."""


class Rejection(NamedTuple):
    """Status and message of the response to a request that the engine did not accept."""

    status: int
    message: str


class LoadChange(NamedTuple):
    """Start (+1) or end (-1) of a request, in the monotonic time of the host."""

    at_s: float
    change: int


class Engine:
    """Simulated model engine with batch, prefix cache, streams and loaded models.

    A cold engine handles few requests at a time and rejects more; each served request raises its
    limit by one, up to the number of slots. Under a strong overload it crashes.
    """

    def __init__(self, *, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        self.rng = random.Random(settings.seed)
        self.models = set(settings.models)
        self.adapters: set[str] = set()
        self.version = ""
        self.role = settings.role
        self.fence = -1
        self.boot_id = secrets.token_hex(8)
        self.restarts = 0
        self.batch = Batch(settings=settings)
        self.cache = self._new_cache()
        self.cache_feed = self._new_feed()
        self.streams: OrderedDict[str, Stream] = OrderedDict()
        self._served = 0
        self._served_since_cold = 0 if settings.cold_start else settings.slots
        self._restarting_until = 0.0
        self._stalled_until = 0.0
        self.load_history: deque[LoadChange] = deque(maxlen=MAX_LOAD_CHANGES)
        """Starts and ends of requests, from which tests compute the load skew between engines."""
        self._rejected_at: deque[float] = deque()
        self._work_available = asyncio.Event()
        self._samples: deque[tuple[float, dict[str, Any]]] = deque(maxlen=MAX_LOAD_SAMPLES)

    @property
    def max_load(self) -> int:
        """Concurrent requests that the engine can handle now; grows while it warms up."""
        return self.settings.cold_capacity + self._served_since_cold

    def is_available(self, *, now: float) -> bool:
        """Whether the engine is neither restarting nor switched off by the fault ``down``."""
        return not self.faults.down and now >= self._restarting_until

    def submit(
        self, body: ChatBody, *, request_id: str, cache_key: str, low_priority: bool, now: float
    ) -> Result[Stream, Rejection]:
        """Queue a request and return its stream; replaces an earlier request of the same id."""
        if not self.is_available(now=now):
            return Failure(Rejection(503, "engine is starting"))
        if body.model not in self.models:
            return Failure(Rejection(404, f"model {body.model} is not loaded"))
        if self.rng.random() < self.faults.errors:
            return Failure(Rejection(500, "internal error"))
        if self._check_cold_overload(now=now):
            return Failure(Rejection(500, "out of memory while cold"))
        self.cancel(request_id)
        seq = Sequence(
            request_id=request_id,
            cache_key=cache_key,
            body=body,
            answer_length=max(1, body.max_tokens or self.settings.default_tokens),
            low_priority=low_priority,
        )
        stream = Stream(seq=seq)
        self.streams[request_id] = stream
        while len(self.streams) > self.settings.streams_kept:
            self.cancel(next(iter(self.streams)))
        if seq.finished:
            stream.finish()
            return Success(stream)
        self.load_history.append(LoadChange(now, 1))
        self.batch.submit(seq)
        self._work_available.set()
        return Success(stream)

    def _check_cold_overload(self, *, now: float) -> bool:
        """Return whether the engine is too cold for one more request; may crash the engine."""
        load = self.batch.running + self.batch.waiting + 1
        if self.max_load >= self.settings.slots or load <= self.max_load:
            return False
        self._rejected_at.append(now)
        while self._rejected_at[0] < now - REJECTION_WINDOW_S:
            self._rejected_at.popleft()
        if load + len(self._rejected_at) > COLD_CRASH_FACTOR * self.max_load:
            self.crash(now=now)
        return True

    def cancel(self, request_id: str) -> bool:
        """Cancel a request and remove its stream; returns whether the stream existed."""
        stream = self.streams.pop(request_id, None)
        if stream is None:
            return False
        if not stream.last_number:
            self.load_history.append(LoadChange(time.monotonic(), -1))
        self.batch.cancel(request_id)
        stream.fail()
        return True

    def crash(self, *, now: float) -> None:
        """Drop all requests, the cache and the fencing token; restart cold with a new boot id."""
        for request_id in list(self.streams):
            self.cancel(request_id)
        self.batch.clear()
        self.cache = self._new_cache()
        self.cache_feed = self._new_feed()
        self.boot_id = secrets.token_hex(8)
        self.restarts += 1
        self.fence = -1
        self._samples.clear()
        self._rejected_at.clear()
        self._served = 0
        self._served_since_cold = 0
        self._restarting_until = now + self.settings.restart_s

    def apply_faults(self, faults: EngineFaults, *, now: float) -> None:
        """Replace the faults and trigger those that happen once."""
        self.faults = faults
        if faults.cold:
            self._served_since_cold = 0
            self.publish_cache_changes(self.cache.clear(), now=now)
        if faults.crash:
            self.crash(now=now)
        self._stalled_until = now + faults.stall_s

    def publish_cache_changes(self, changes: Iterable[CacheChange], *, now: float) -> None:
        """Publish cache changes, except those that the fault ``cache_event_gap`` drops."""
        for change in changes:
            lost = self.rng.random() < self.faults.cache_event_gap
            self.cache_feed.publish(change, now=now, lost=lost)

    def load(self, *, now: float) -> dict[str, Any]:
        """Return the load of ``load_lag_s`` seconds ago, or the oldest sample since the start."""
        visible_until = now - self.settings.load_lag_s
        visible = [sample for sampled_at, sample in self._samples if sampled_at <= visible_until]
        if visible:
            return visible[-1]
        return self._samples[0][1] if self._samples else self._current_load()

    async def run(self) -> None:
        """Advance the batch step by step until cancelled."""
        due_at = 0.0
        while True:
            if self.batch.running + self.batch.waiting == 0:
                self._work_available.clear()
                await self._work_available.wait()
            now = time.monotonic()
            # Each step starts at the scheduled end of the previous one, so the overhead of this
            # loop doesn't slow the engine down.
            started_at = due_at if now - due_at < MAX_STEP_LAG_S else now
            for seq in self.batch.admit():
                self._start_prefill(seq)
            duration_s = self.batch.step_duration_s(slow_factor=self.faults.slow)
            due_at = max(started_at + duration_s, self._stalled_until)
            await asyncio.sleep(max(0.0, due_at - now))
            self._advance(duration_s, now=time.monotonic())

    async def run_housekeeping(self) -> None:
        """Sample the load and cancel orphaned streams periodically until cancelled."""
        while True:
            now = time.monotonic()
            self._samples.append((now, self._current_load()))
            self.cancel_orphans(now=now)
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)

    def cancel_orphans(self, *, now: float) -> None:
        """Cancel unfinished streams that have had no reader for ``orphan_s`` seconds."""
        orphaned_before = now - self.settings.orphan_s
        for request_id, stream in list(self.streams.items()):
            if (
                not stream.reader_count
                and not stream.last_number
                and stream.orphaned_at < orphaned_before
            ):
                self.cancel(request_id)

    def _start_prefill(self, seq: Sequence) -> None:
        tokens = seq.tokens()
        # The last prompt token is never reused: computing it yields the first token of the answer.
        cached = min(self.cache.match(tokens), len(tokens) - 1)
        seq.cached_tokens = min(cached, len(seq.prompt))
        seq.prefill_tokens_left = float(len(tokens) - cached)

    def _advance(self, duration_s: float, *, now: float) -> None:
        for seq in self.batch.step(duration_s=duration_s):
            stream = self.streams.get(seq.request_id)
            if stream is None:
                continue
            stream.append_token()
            if seq.generated == seq.resumed_from + 1:
                self.publish_cache_changes(self.cache.store(seq.cache_key, seq.tokens()), now=now)
            if seq.finished:
                self.publish_cache_changes(self.cache.store(seq.cache_key, seq.tokens()), now=now)
                self._served += 1
                self._served_since_cold += 1
                self.load_history.append(LoadChange(now, -1))
                stream.finish()

    def _current_load(self) -> dict[str, Any]:
        return {
            "boot_id": self.boot_id,
            "restarts": self.restarts,
            "running": self.batch.running,
            "waiting": self.batch.waiting,
            "capacity": self.settings.capacity,
            "cached_blocks": self.cache.block_count,
            "served": self._served,
            "models": sorted(self.models),
            "adapters": sorted(self.adapters),
            "version": self.version,
            "role": self.role,
            "fence": self.fence,
        }

    def _new_cache(self) -> PrefixCache:
        return PrefixCache(
            capacity=self.settings.cache_blocks, block_tokens=self.settings.block_tokens
        )

    def _new_feed(self) -> CacheFeed:
        return CacheFeed(
            lag_s=self.settings.cache_event_lag_s, max_events=self.settings.cache_events_kept
        )
