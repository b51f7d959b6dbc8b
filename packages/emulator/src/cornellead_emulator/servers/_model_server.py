"""Emulated model server with continuous batching, chunked prefill and a prompt cache."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from cornellead_emulator.servers._prompt_cache import PromptCache

if TYPE_CHECKING:
    from cornellead_core.routing import PromptPart
    from cornellead_emulator.servers._generation import Generation
    from cornellead_emulator.servers._server_settings import ModelServerSettings
    from cornellead_emulator.simulation import EventQueue

S_PER_MS = 1e-3
WORK_FACTOR_INTERVAL_S = 0.1
"""Interval at which the work factor changes."""


class ModelServer:
    """Advances all requests of its batch step by step.

    A step decodes one token of each request whose prefill is done and prefills a chunk of the
    prompts of the others, so a long prompt delays the tokens of all requests. When the memory is
    full, the newest of the least urgent requests is preempted: it returns to the queue and its
    prompt is prefilled again.
    """

    def __init__(
        self,
        *,
        name: str,
        settings: ModelServerSettings,
        queue: EventQueue,
        mean_work_factor: float = 1.0,
    ) -> None:
        self.name = name
        self._mean_work_factor = mean_work_factor
        self._settings = settings
        self._queue = queue
        self._batch: list[Generation] = []
        self._waiting: list[Generation] = []
        self._stepping = False
        self._fetch_idle_at = 0.0
        self.cache = PromptCache()
        self.stopped = False
        self.prefilled_tokens = 0
        """Prompt tokens prefilled so far."""
        self.preempted = 0
        """Preemptions so far."""

    @property
    def work_factor(self) -> float:
        """Multiple of the usual time that a step takes now."""
        jitter = self._settings.work_jitter
        if jitter <= 0:
            return self._mean_work_factor
        interval = int(self._queue.now / WORK_FACTOR_INTERVAL_S)
        rng = random.Random(f"{self.name}/{interval}")
        return self._mean_work_factor * (1.0 + rng.uniform(-jitter, jitter))

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._batch)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    @property
    def load(self) -> int:
        """Requests in the batch and in the queue."""
        return self.running + self.waiting

    def submit(self, gen: Generation, *, source: ModelServer | None = None) -> bool:
        """Add a request to the queue.

        :param source: Server from which missing cached parts of the prompt are copied first.
        :returns: Whether the request was accepted; a rejected request has not run at all.
        """
        if self.stopped or self.load >= self._settings.slots + self._settings.queue:
            return False
        if gen.prompt_tokens + gen.output_tokens > self._settings.memory_tokens:
            return False
        if source is not None:
            self._fetch(gen, source)
        self._enqueue(gen)
        self._start_step()
        return True

    def cancel(self, gen: Generation) -> None:
        """Remove a request whose caller has disconnected."""
        self._batch = [other for other in self._batch if other is not gen]
        self._waiting = [other for other in self._waiting if other is not gen]

    def crash(self) -> None:
        """Stop the server: all its requests fail and its cache is lost."""
        self.stopped = True
        failed = self._batch + self._waiting
        self._batch, self._waiting = [], []
        self.cache = PromptCache()
        for gen in failed:
            gen.on_end(False)

    def _fetch(self, gen: Generation, source: ModelServer) -> None:
        own_prefix = self.cache.cached_prefix(gen.shared)
        parts = gen.shared[own_prefix : source.cache.cached_prefix(gen.shared)]
        if not parts:
            return
        tokens = sum(part.tokens for part in parts)
        # Copies to this server run one after the other.
        transfer_start = (
            max(self._queue.now, self._fetch_idle_at) + self._settings.fetch_setup_ms * S_PER_MS
        )
        self._fetch_idle_at = (
            transfer_start + tokens / self._settings.fetch_tokens_per_ms * S_PER_MS
        )
        gen.fetch_done_at = self._fetch_idle_at
        self._queue.schedule_at(gen.fetch_done_at, lambda: self._finish_fetch(gen, parts))

    def _finish_fetch(self, gen: Generation, parts: tuple[PromptPart, ...]) -> None:
        if self.stopped:
            return
        self.cache.touch(parts)
        self._start_step()

    def _enqueue(self, gen: Generation) -> None:
        position = sum(1 for other in self._waiting if other.urgency <= gen.urgency)
        self._waiting.insert(position, gen)

    def _admit(self) -> None:
        now = self._queue.now
        for gen in list(self._waiting):
            if len(self._batch) >= self._settings.slots:
                return
            if gen.fetch_done_at > now:
                continue
            tokens_needed = sum(other.tokens_held for other in self._batch) + gen.prompt_tokens
            if tokens_needed > self._settings.memory_tokens:
                return
            self._waiting.remove(gen)
            cached = self.cache.cached_prefix(gen.shared)
            uncached = sum(part.tokens for part in gen.prompt[cached:])
            gen.prefill_left = uncached + gen.generated
            self.cache.touch(gen.shared[:cached])
            self._batch.append(gen)

    def _start_step(self) -> None:
        if self._stepping or self.stopped:
            return
        self._admit()
        if not self._batch:
            return
        cfg = self._settings
        chunk_budget = cfg.chunk_tokens
        chunks: list[tuple[Generation, int]] = []
        for gen in self._batch:
            chunk = min(chunk_budget, gen.prefill_left)
            if chunk > 0:
                chunks.append((gen, chunk))
                chunk_budget -= chunk
        prefilled = cfg.chunk_tokens - chunk_budget
        step_ms = cfg.step_ms + cfg.step_ms_per_request * len(self._batch)
        self._stepping = True
        duration_s = (step_ms + prefilled / cfg.prefill_tokens_per_ms) * S_PER_MS
        duration_s *= self.work_factor
        self._queue.schedule_after(duration_s, lambda: self._finish_step(chunks))

    def _finish_step(self, chunks: list[tuple[Generation, int]]) -> None:
        self._stepping = False
        if self.stopped:
            return
        decoding = [gen for gen in self._batch if gen.prefill_left <= 0]
        for gen, chunk in chunks:
            gen.prefill_left -= chunk
            self.prefilled_tokens += chunk
            if gen.prefill_left <= 0:
                self.cache.touch(gen.shared)
        for gen in decoding:
            self._decode(gen)
        self._preempt_to_fit_memory()
        self._start_step()

    def _decode(self, gen: Generation) -> None:
        gen.generated += 1
        done = gen.generated >= gen.output_tokens
        if done or (gen.generated - 1) % self._settings.tokens_per_event == 0:
            gen.record_event(self._queue.now)
        if done:
            self._batch.remove(gen)
            gen.on_end(True)

    def _preempt_to_fit_memory(self) -> None:
        capacity = self._settings.memory_tokens
        while len(self._batch) > 1 and sum(gen.tokens_held for gen in self._batch) > capacity:
            victim = max(reversed(self._batch), key=lambda gen: gen.urgency)
            self._batch.remove(victim)
            self._waiting.insert(0, victim)
            self.preempted += 1
        self.cache.evict_to(capacity - sum(gen.tokens_held for gen in self._batch))
