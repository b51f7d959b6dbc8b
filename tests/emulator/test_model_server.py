"""Emulated model server under load."""

from __future__ import annotations

from cornellead_core.routing import PromptPart
from cornellead_emulator.servers import Generation
from cornellead_emulator.servers import ModelServer
from cornellead_emulator.servers import ModelServerSettings
from cornellead_emulator.simulation import EventQueue


class ServerHarness:
    """An emulated server with its clock; records the times of stream events and of results."""

    def __init__(self, **changes: int) -> None:
        self.queue = EventQueue()
        self.settings = ModelServerSettings(**changes)
        self.server = self.make_server("s1")
        self.events: dict[str, list[float]] = {}
        self.results: dict[str, tuple[float, bool]] = {}

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
            self.results[name] = (self.queue.now, ok)

        gen = Generation(
            prompt=prompt,
            output_tokens=output,
            urgency=urgency,
            on_event=lambda: self.events[name].append(self.queue.now),
            on_end=end,
        )
        return self.server.submit(gen, source=source)


def test_decoding_slows_down_as_the_batch_grows() -> None:
    """Guards against an emulated server whose speed does not depend on its load."""
    single, full_batch = ServerHarness(), ServerHarness()
    single.send("r0", output=100)
    for number in range(64):
        full_batch.send(f"r{number}", output=100)
    single.queue.run(until=10.0)
    full_batch.queue.run(until=10.0)
    assert full_batch.results["r0"][0] > 1.3 * single.results["r0"][0]


def test_long_prompt_delays_the_tokens_of_others() -> None:
    """Guards against a prefill that does not delay the other requests of the batch."""
    harness = ServerHarness()
    harness.send("stream", output=400)
    harness.queue.run(until=0.5)
    harness.send("long", own=20_000)
    harness.queue.run(until=5.0)
    pauses = [
        b - a for a, b in zip(harness.events["stream"], harness.events["stream"][1:], strict=False)
    ]
    assert max(pauses) > 0.15
    assert min(pauses) < 0.05


def test_cached_part_is_not_prefilled_again() -> None:
    """Guards against a prompt cache that never hits."""
    harness = ServerHarness()
    harness.send("first", shared=6620)
    harness.queue.run(until=1.0)
    harness.send("second", shared=6620)
    harness.queue.run(until=2.0)
    assert harness.events["first"][0] > 0.1
    assert harness.events["second"][0] - 1.0 < 0.02
    assert harness.server.prefilled_tokens == 6620 + 10 + 10


def test_copied_part_is_not_prefilled() -> None:
    """Guards against cached parts that are copied from another server but not used."""
    harness = ServerHarness()
    source = harness.make_server("s2")
    source.cache.touch([PromptPart("shared", 6620)])
    harness.send("moved", shared=6620, source=source)
    harness.queue.run(until=1.0)
    assert 0.04 < harness.events["moved"][0] < 0.08
    assert harness.server.prefilled_tokens == 10


def test_full_queue_rejects_requests() -> None:
    """Guards against a server that accepts more requests than its slots and its queue hold."""
    harness = ServerHarness(slots=2, queue=3)
    assert [harness.send(f"r{number}", output=100) for number in range(7)] == [True] * 5 + [
        False
    ] * 2


def test_full_memory_preempts_the_newest_of_the_least_urgent_requests() -> None:
    """Guards against unlimited memory, and against the preemption of an urgent request."""
    harness = ServerHarness(memory_tokens=1000)
    harness.send("urgent", own=300, output=300, urgency=0)
    harness.send("old", own=200, output=300, urgency=2)
    harness.send("new", own=200, output=300, urgency=2)
    harness.queue.run(until=20.0)
    assert harness.server.preempted > 0
    assert harness.results["urgent"][0] < harness.results["old"][0] < harness.results["new"][0]
    assert all(ok for _, ok in harness.results.values())


def test_urgent_requests_overtake_waiting_ones() -> None:
    """Guards against a queue that ignores the urgency."""
    harness = ServerHarness(slots=1)
    for name, urgency in (("running", 2), ("patient", 2), ("urgent", 0)):
        harness.send(name, urgency=urgency)
    harness.queue.run(until=5.0)
    assert harness.results["urgent"][0] < harness.results["patient"][0]


def test_crash_fails_every_request() -> None:
    """Guards against requests of a crashed server that never end."""
    harness = ServerHarness(slots=1)
    harness.send("running", output=1000)
    harness.send("waiting", output=1000)
    harness.queue.run(until=0.1)
    harness.server.crash()
    harness.queue.run(until=1.0)
    assert harness.results == {"running": (0.1, False), "waiting": (0.1, False)}
    assert not harness.send("late")
