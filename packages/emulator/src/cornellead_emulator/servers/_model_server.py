"""Model server with continuous batching, chunked prefill and a prompt cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_emulator.servers._prompt_cache import PromptCache

if TYPE_CHECKING:
    from cornellead_core.routing import PromptPart
    from cornellead_emulator.servers._generation import Generation
    from cornellead_emulator.servers._server_settings import ModelServerSettings
    from cornellead_emulator.simulation import EventQueue

MS = 1e-3


class ModelServer:
    """Advances all requests of its batch step by step.

    A step decodes one token of each request whose prompt was read, and reads a chunk of the prompts
    of the others, so long prompts delay the tokens of all. When the memory is full, the newest of
    the least urgent requests is put back and its prompt is read again.
    """

    def __init__(self, *, name: str, settings: ModelServerSettings, queue: EventQueue) -> None:
        self.name = name
        self._settings = settings
        self._queue = queue
        self._batch: list[Generation] = []
        self._waiting: list[Generation] = []
        self._stepping = False
        self._fetches_until = 0.0
        self.cache = PromptCache()
        self.stopped = False
        self.read_tokens = 0
        """Prompt tokens read."""
        self.preempted = 0
        """Requests that were put back."""

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._batch)

    @property
    def waiting(self) -> int:
        """Requests that wait for a place."""
        return len(self._waiting)

    @property
    def load(self) -> int:
        """Requests in the batch and those that wait for a place."""
        return self.running + self.waiting

    def submit(self, gen: Generation, *, source: ModelServer | None = None) -> bool:
        """Take a request.

        :param source: Server from which cached parts are copied first.
        :returns: Whether it was taken; otherwise it did not and will not run.
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
        """Drop a request whose caller left."""
        self._batch = [other for other in self._batch if other is not gen]
        self._waiting = [other for other in self._waiting if other is not gen]

    def crash(self) -> None:
        """End all requests and lose the memory."""
        self.stopped = True
        lost = self._batch + self._waiting
        self._batch, self._waiting = [], []
        self.cache = PromptCache()
        for gen in lost:
            gen.on_end(False)

    def _fetch(self, gen: Generation, source: ModelServer) -> None:
        own = self.cache.cached_prefix(gen.shared)
        parts = gen.shared[own : source.cache.cached_prefix(gen.shared)]
        if not parts:
            return
        tokens = sum(part.tokens for part in parts)
        # Copies run one after the other.
        start = max(self._queue.now, self._fetches_until) + self._settings.fetch_setup_ms * MS
        self._fetches_until = start + tokens / self._settings.fetch_tokens_per_ms * MS
        gen.fetched_until = self._fetches_until
        self._queue.at(gen.fetched_until, lambda: self._finish_fetch(gen, parts))

    def _finish_fetch(self, gen: Generation, parts: tuple[PromptPart, ...]) -> None:
        if self.stopped:
            return
        self.cache.keep(parts)
        self._start_step()

    def _enqueue(self, gen: Generation) -> None:
        position = sum(1 for other in self._waiting if other.urgency <= gen.urgency)
        self._waiting.insert(position, gen)

    def _admit(self) -> None:
        now = self._queue.now
        for gen in list(self._waiting):
            if len(self._batch) >= self._settings.slots:
                return
            if gen.fetched_until > now:
                continue
            held = sum(other.tokens_held for other in self._batch) + gen.prompt_tokens
            if held > self._settings.memory_tokens:
                return
            self._waiting.remove(gen)
            cached = self.cache.cached_prefix(gen.shared)
            unread = sum(part.tokens for part in gen.prompt[cached:])
            gen.prefill_left = unread + gen.generated
            self.cache.keep(gen.shared[:cached])
            self._batch.append(gen)

    def _start_step(self) -> None:
        if self._stepping or self.stopped:
            return
        self._admit()
        if not self._batch:
            return
        cfg = self._settings
        left = cfg.chunk_tokens
        chunks: list[tuple[Generation, int]] = []
        for gen in self._batch:
            chunk = min(left, gen.prefill_left)
            if chunk > 0:
                chunks.append((gen, chunk))
                left -= chunk
        read = cfg.chunk_tokens - left
        step_ms = cfg.step_ms + cfg.step_ms_per_request * len(self._batch)
        self._stepping = True
        duration_s = (step_ms + read / cfg.prefill_tokens_per_ms) * MS
        self._queue.after(duration_s, lambda: self._finish_step(chunks))

    def _finish_step(self, chunks: list[tuple[Generation, int]]) -> None:
        self._stepping = False
        if self.stopped:
            return
        decoding = [gen for gen in self._batch if gen.prefill_left <= 0]
        for gen, chunk in chunks:
            gen.prefill_left -= chunk
            self.read_tokens += chunk
            if gen.prefill_left <= 0:
                self.cache.keep(gen.shared)
        for gen in decoding:
            self._decode(gen)
        self._fit_memory()
        self._start_step()

    def _decode(self, gen: Generation) -> None:
        gen.generated += 1
        done = gen.generated >= gen.output_tokens
        if done or (gen.generated - 1) % self._settings.tokens_per_event == 0:
            gen.note_event(self._queue.now)
        if done:
            self._batch.remove(gen)
            gen.on_end(True)

    def _fit_memory(self) -> None:
        memory = self._settings.memory_tokens
        while len(self._batch) > 1 and sum(gen.tokens_held for gen in self._batch) > memory:
            newest = max(reversed(self._batch), key=lambda gen: gen.urgency)
            self._batch.remove(newest)
            self._waiting.insert(0, newest)
            self.preempted += 1
        self.cache.shrink(memory - sum(gen.tokens_held for gen in self._batch))
