"""Behaviour of the emulated model server under load."""

from __future__ import annotations

from cornellead_core.routing import PromptPart
from cornellead_emulator.servers import Generation
from cornellead_emulator.servers import ModelServer
from cornellead_emulator.servers import ModelServerSettings
from cornellead_emulator.simulation import EventQueue


class Bench:
    """A server, its clock, and the times of what it did."""

    def __init__(self, **changes: int) -> None:
        self.queue = EventQueue()
        self.settings = ModelServerSettings(**changes)
        self.server = self.make_server("s1")
        self.events: dict[str, list[float]] = {}
        self.ended: dict[str, tuple[float, bool]] = {}

    def make_server(self, name: str) -> ModelServer:
        return ModelServer(name=name, settings=self.settings, queue=self.queue)

    def send(
        self,
        name: str,
        *,
        shared: int = 0,
        own: int = 10,
        output: int = 10,
        urgency: int = 1,
        source: ModelServer | None = None,
    ) -> bool:
        self.events[name] = []
        prompt = (PromptPart("shared", shared), PromptPart(name, own))

        def end(ok: bool) -> None:
            self.ended[name] = (self.queue.now, ok)

        gen = Generation(
            prompt=prompt,
            output_tokens=output,
            urgency=urgency,
            on_event=lambda: self.events[name].append(self.queue.now),
            on_end=end,
        )
        return self.server.submit(gen, source=source)


def test_tokens_slow_down_as_the_batch_grows() -> None:
    """Guards against an emulated server on which load costs nothing."""
    alone, crowded = Bench(), Bench()
    alone.send("r0", output=100)
    for number in range(64):
        crowded.send(f"r{number}", output=100)
    alone.queue.run(until=10.0)
    crowded.queue.run(until=10.0)
    assert crowded.ended["r0"][0] > 1.3 * alone.ended["r0"][0]


def test_long_prompt_delays_the_tokens_of_others() -> None:
    """Guards against prompts that are read without cost to the streams beside them."""
    bench = Bench()
    bench.send("stream", output=400)
    bench.queue.run(until=0.5)
    bench.send("long", own=20_000)
    bench.queue.run(until=5.0)
    pauses = [
        b - a for a, b in zip(bench.events["stream"], bench.events["stream"][1:], strict=False)
    ]
    assert max(pauses) > 0.15
    assert min(pauses) < 0.05


def test_cached_part_is_not_read_again() -> None:
    """Guards against a cache that never hits, or hits after its server lost it."""
    bench = Bench()
    bench.send("first", shared=6620)
    bench.queue.run(until=1.0)
    bench.send("second", shared=6620)
    bench.queue.run(until=2.0)
    assert bench.events["first"][0] > 0.1
    assert bench.events["second"][0] - 1.0 < 0.02
    assert bench.server.read_tokens == 6620 + 10 + 10


def test_copied_part_is_not_read() -> None:
    """Guards against copies that arrive and are not used."""
    bench = Bench()
    source = bench.make_server("s2")
    source.cache.keep([PromptPart("shared", 6620)])
    bench.send("moved", shared=6620, source=source)
    bench.queue.run(until=1.0)
    assert 0.04 < bench.events["moved"][0] < 0.08
    assert bench.server.read_tokens == 10


def test_full_queue_refuses() -> None:
    """Guards against a server that takes more than it holds."""
    bench = Bench(slots=2, queue=3)
    assert [bench.send(f"r{number}", output=100) for number in range(7)] == [True] * 5 + [False] * 2


def test_full_memory_puts_the_newest_of_the_least_urgent_back() -> None:
    """Guards against a memory without end, and against an urgent request that yields."""
    bench = Bench(memory_tokens=1000)
    bench.send("urgent", own=300, output=300, urgency=0)
    bench.send("old", own=200, output=300, urgency=2)
    bench.send("new", own=200, output=300, urgency=2)
    bench.queue.run(until=20.0)
    assert bench.server.preempted > 0
    assert bench.ended["urgent"][0] < bench.ended["old"][0] < bench.ended["new"][0]
    assert all(ok for _, ok in bench.ended.values())


def test_urgent_requests_pass_waiting_ones() -> None:
    """Guards against a queue that ignores urgency."""
    bench = Bench(slots=1)
    for name, urgency in (("running", 2), ("patient", 2), ("urgent", 0)):
        bench.send(name, urgency=urgency)
    bench.queue.run(until=5.0)
    assert bench.ended["urgent"][0] < bench.ended["patient"][0]


def test_crash_fails_every_request() -> None:
    """Guards against requests that vanish with their server."""
    bench = Bench(slots=1)
    bench.send("running", output=1000)
    bench.send("waiting", output=1000)
    bench.queue.run(until=0.1)
    bench.server.crash()
    bench.queue.run(until=1.0)
    assert bench.ended == {"running": (0.1, False), "waiting": (0.1, False)}
    assert not bench.send("late")
