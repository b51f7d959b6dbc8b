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

CRASH_MULTIPLE = 2
"""A cold engine crashes when it was offered more than this multiple of what it bears."""
HISTORY_KEPT = 500_000
MAX_CATCH_UP_S = 0.05
"""A loop that is further behind, on a busy host, does not make up for it with a burst."""
FAILURE_WINDOW_S = 1.0
"""Time for which failed requests count as offered load."""
HOUSEKEEPING_S = 0.05
SAMPLES_KEPT = 200
"""Samples of the load for the lagged report; 10 s."""


class Rejection(NamedTuple):
    """Why the engine did not take a request."""

    status: int
    message: str


class LoadChange(NamedTuple):
    """A request started (+1) or ended (-1); the clock is shared by all processes of a host."""

    at_s: float
    change: int


class Engine:
    """One engine process: batch, cache, streams and loaded models."""

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
        self.cache = self._empty_cache()
        self.feed = self._empty_feed()
        self.streams: OrderedDict[str, Stream] = OrderedDict()
        self._served = 0
        self._served_since_cold = 0 if settings.cold_start else settings.slots
        self._restarting_until = 0.0
        self._stalled_until = 0.0
        self.history: deque[LoadChange] = deque(maxlen=HISTORY_KEPT)
        """Starts and ends of requests, for an exact comparison of the load of engines."""
        self._failed_at: deque[float] = deque()
        self._work = asyncio.Event()
        self._samples: deque[tuple[float, dict[str, Any]]] = deque(maxlen=SAMPLES_KEPT)

    @property
    def bears(self) -> int:
        """Requests that the engine bears at this warmth."""
        return self.settings.cold_capacity + self._served_since_cold

    def available(self, *, now: float) -> bool:
        """Whether the engine answers at all."""
        return not self.faults.down and now >= self._restarting_until

    def submit(
        self, body: ChatBody, *, request_id: str, cache_key: str, batch: bool, now: float
    ) -> Result[Stream, Rejection]:
        """Start a request."""
        if not self.available(now=now):
            return Failure(Rejection(503, "engine is starting"))
        if body.model not in self.models:
            return Failure(Rejection(404, f"model {body.model} is not loaded"))
        if self.rng.random() < self.faults.errors:
            return Failure(Rejection(500, "internal error"))
        if self._falls_over(now=now):
            return Failure(Rejection(500, "out of memory while cold"))
        self.cancel(request_id)
        seq = Sequence(
            request_id=request_id,
            cache_key=cache_key,
            body=body,
            length=max(1, body.max_tokens or self.settings.default_tokens),
            batch=batch,
        )
        stream = Stream(seq=seq)
        self.streams[request_id] = stream
        while len(self.streams) > self.settings.streams_kept:
            self.cancel(next(iter(self.streams)))
        if seq.finished:
            stream.finish()
            return Success(stream)
        self.history.append(LoadChange(now, 1))
        self.batch.submit(seq)
        self._work.set()
        return Success(stream)

    def _falls_over(self, *, now: float) -> bool:
        load = self.batch.running + self.batch.waiting + 1
        if self.bears >= self.settings.slots or load <= self.bears:
            return False
        self._failed_at.append(now)
        while self._failed_at[0] < now - FAILURE_WINDOW_S:
            self._failed_at.popleft()
        if load + len(self._failed_at) > CRASH_MULTIPLE * self.bears:
            self.crash(now=now)
        return True

    def cancel(self, request_id: str) -> bool:
        """Stop a request and forget its stream; returns whether it was known."""
        stream = self.streams.pop(request_id, None)
        if stream is None:
            return False
        if not stream.last:
            self.history.append(LoadChange(time.monotonic(), -1))
        self.batch.cancel(request_id)
        stream.fail()
        return True

    def crash(self, *, now: float) -> None:
        """Lose all state and come back cold under a new boot id."""
        for request_id in list(self.streams):
            self.cancel(request_id)
        self.batch.clear()
        self.cache = self._empty_cache()
        self.feed = self._empty_feed()
        self.boot_id = secrets.token_hex(8)
        self.restarts += 1
        self.fence = -1
        self._samples.clear()
        self._failed_at.clear()
        self._served = 0
        self._served_since_cold = 0
        self._restarting_until = now + self.settings.restart_s

    def apply_faults(self, faults: EngineFaults, *, now: float) -> None:
        """Switch faults and trigger the momentary ones."""
        self.faults = faults
        if faults.cold:
            self._served_since_cold = 0
            self.publish(self.cache.clear(), now=now)
        if faults.crash:
            self.crash(now=now)
        self._stalled_until = now + faults.stall_s

    def publish(self, changes: Iterable[CacheChange], *, now: float) -> None:
        """Publish cache changes; some are lost under the gap fault."""
        for change in changes:
            lost = self.rng.random() < self.faults.cache_event_gap
            self.feed.publish(change, now=now, lost=lost)

    def load(self, *, now: float) -> dict[str, Any]:
        """Return the load as it was ``load_lag_s`` seconds ago."""
        limit = now - self.settings.load_lag_s
        old = [sample for taken_at, sample in self._samples if taken_at <= limit]
        if old:
            return old[-1]
        return self._samples[0][1] if self._samples else self._sample()

    async def run(self) -> None:
        """Advance the batch step by step until cancelled."""
        due_at = 0.0
        while True:
            if self.batch.running + self.batch.waiting == 0:
                self._work.clear()
                await self._work.wait()
            now = time.monotonic()
            # Steps follow each other without the time that this loop itself takes.
            started_at = due_at if now - due_at < MAX_CATCH_UP_S else now
            for seq in self.batch.admit():
                self._prepare(seq)
            duration_s = self.batch.step_s(slow=self.faults.slow)
            due_at = max(started_at + duration_s, self._stalled_until)
            await asyncio.sleep(max(0.0, due_at - now))
            self._advance(duration_s, now=time.monotonic())

    async def run_housekeeping(self) -> None:
        """Sample the load and cancel streams that lost their reader, until cancelled."""
        while True:
            now = time.monotonic()
            self._samples.append((now, self._sample()))
            self.cancel_orphans(now=now)
            await asyncio.sleep(HOUSEKEEPING_S)

    def cancel_orphans(self, *, now: float) -> None:
        """Cancel unfinished streams without a reader."""
        limit = now - self.settings.orphan_s
        for request_id, stream in list(self.streams.items()):
            if not stream.readers and not stream.last and stream.orphaned_at < limit:
                self.cancel(request_id)

    def _prepare(self, seq: Sequence) -> None:
        tokens = seq.tokens()
        # The last token is always computed, as its output is the first token of the answer.
        cached = min(self.cache.match(tokens), len(tokens) - 1)
        seq.cached_tokens = min(cached, len(seq.prompt))
        seq.prefill_left = float(len(tokens) - cached)

    def _advance(self, duration_s: float, *, now: float) -> None:
        for seq in self.batch.step(duration_s=duration_s):
            stream = self.streams.get(seq.request_id)
            if stream is None:
                continue
            stream.add_token()
            if seq.generated == seq.first + 1:
                self.publish(self.cache.store(seq.cache_key, seq.tokens()), now=now)
            if seq.finished:
                self.publish(self.cache.store(seq.cache_key, seq.tokens()), now=now)
                self._served += 1
                self._served_since_cold += 1
                self.history.append(LoadChange(now, -1))
                stream.finish()

    def _sample(self) -> dict[str, Any]:
        return {
            "boot_id": self.boot_id,
            "restarts": self.restarts,
            "running": self.batch.running,
            "waiting": self.batch.waiting,
            "capacity": self.settings.capacity,
            "cached_blocks": self.cache.blocks,
            "served": self._served,
            "models": sorted(self.models),
            "adapters": sorted(self.adapters),
            "version": self.version,
            "role": self.role,
            "fence": self.fence,
        }

    def _empty_cache(self) -> PrefixCache:
        return PrefixCache(
            capacity=self.settings.cache_blocks, block_tokens=self.settings.block_tokens
        )

    def _empty_feed(self) -> CacheFeed:
        return CacheFeed(
            lag_s=self.settings.cache_event_lag_s, kept=self.settings.cache_events_kept
        )
