"""Tests of the wait queues: priorities, fairness among teams, eviction, and limits of teams."""

from __future__ import annotations

import asyncio
import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from tests.router.fake_agent import FakeAgent
from tests.router.fake_agent import FakeRequest
from tests.router.fake_agent import refuse
from tests.router.fake_agent import respond_with
from tests.router.harness import Caller
from tests.router.harness import make_config
from tests.router.harness import make_team
from tests.router.harness import running_router

from cornellead.waiting import Ticket
from cornellead.waiting import WaitQueue
from cornellead_core import headers
from cornellead_core.config import Priority

queued_requests = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(list(Priority)), st.integers(1, 4)),
    max_size=40,
)


def serve_all(queue: WaitQueue) -> list[Ticket]:
    """Serve all queued requests and return them in the order of service."""
    served = []
    while (ticket := queue.head()) is not None:
        queue.serve(ticket)
        served.append(ticket)
    return served


@given(queued=queued_requests)
@settings(max_examples=200, derandomize=True)
def test_interactive_requests_are_served_before_batch(
    queued: list[tuple[str, Priority, int]],
) -> None:
    """Guards against batch requests served before interactive ones, and against lost requests.

    Requests of one team and class must also be served in the order of arrival.
    """
    queue = WaitQueue()
    for team, priority, weight in queued:
        queue.push(team=team, weight=float(weight), priority=priority)
    served = serve_all(queue)
    assert len(served) == len(queued)
    assert [ticket.rank for ticket in served] == sorted(ticket.rank for ticket in served)
    for team in "abc":
        for rank in (0, 1):
            order = [t.seq for t in served if t.team == team and t.rank == rank]
            assert order == sorted(order)


@given(
    quiet=st.integers(1, 20),
    burst=st.integers(1, 200),
    weights=st.tuples(st.integers(1, 4), st.integers(1, 4)),
    burst_first=st.booleans(),
)
@settings(max_examples=200, derandomize=True)
def test_burst_gets_no_more_than_its_weighted_share(
    quiet: int, burst: int, weights: tuple[int, int], burst_first: bool
) -> None:
    """Guards against a team that gets a larger share by sending more requests."""
    queue = WaitQueue()
    teams = [("burst", burst, weights[0]), ("quiet", quiet, weights[1])]
    for team, number, weight in teams if burst_first else reversed(teams):
        for _ in range(number):
            queue.push(team=team, weight=float(weight), priority=Priority.INTERACTIVE)
    served = [ticket.team for ticket in serve_all(queue)]
    last = max(index for index, team in enumerate(served) if team == "quiet")
    burst_ahead = served[: last + 1].count("burst")
    # Under weighted fair queuing, the other team is ahead by its share and at most one request.
    assert burst_ahead <= quiet * weights[0] / weights[1] + 1


async def test_burst_of_one_team_does_not_delay_another_team() -> None:
    """Guards against a team that waits until an earlier burst of another team was served.

    50 requests of the first team are queued before 5 of the second one.
    """
    free_slots = 0
    order: list[str] = []

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal free_slots
        if not free_slots:
            await refuse("over_bound")(request, writer)
            return
        free_slots -= 1
        order.append(request.headers[headers.TEAM])
        await respond_with(b"{}")(request, writer)

    async with running_router([FakeAgent("s1", script)]) as router:
        burst = [
            asyncio.create_task(router.caller().chat(stream=False, text=str(n), team="a"))
            for n in range(50)
        ]
        while len(router.data_path.wait_queues) < 50:
            await asyncio.sleep(0.01)
        quiet = [
            asyncio.create_task(router.caller().chat(stream=False, text=str(n), team="b"))
            for n in range(5)
        ]
        while len(router.data_path.wait_queues) < 55:
            await asyncio.sleep(0.01)
        free_slots = 20
        await asyncio.gather(*quiet)
        free_slots = 100
        callers = await asyncio.gather(*burst)
    assert order[:11].count("b") == 5
    assert [caller.status for caller in callers] == [200] * 50


async def test_queued_interactive_requests_are_sent_before_earlier_batch_requests() -> None:
    """Guards against a batch request that gets free capacity while interactive ones are queued."""
    free_slots = 0
    order: list[str] = []

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal free_slots
        if not free_slots:
            await refuse("over_bound")(request, writer)
            return
        free_slots -= 1
        order.append(request.headers[headers.PRIORITY])
        await respond_with(b"{}")(request, writer)

    async with running_router([FakeAgent("s1", script)]) as router:
        tasks: list[asyncio.Task[Caller]] = []
        for priority in ("batch", "batch", "interactive", "interactive"):
            call = router.caller().chat(stream=False, text=str(len(tasks)), x_priority=priority)
            tasks.append(asyncio.create_task(call))
            while len(router.data_path.wait_queues) < len(tasks):
                await asyncio.sleep(0.01)
        free_slots = 4
        await asyncio.gather(*tasks)
    assert order == ["interactive", "interactive", "batch", "batch"]


async def test_full_queue_evicts_requests_of_the_largest_team() -> None:
    """Guards against a burst of one team that fills the queue and locks out other teams."""
    agent = FakeAgent("s1", refuse("over_bound"))
    async with running_router([agent], max_waiting=10) as router:
        burst = [
            asyncio.create_task(router.caller().chat(text=str(n), team="a", x_deadline_ms="2000"))
            for n in range(12)
        ]
        refused, _ = await asyncio.wait(burst, return_when=asyncio.FIRST_COMPLETED)
        other = asyncio.create_task(router.caller().chat(team="b", x_deadline_ms="300"))
        queued_response = await other
        callers = await asyncio.gather(*burst)
    assert refused
    assert (queued_response.status, queued_response.error["code"]) == (504, "deadline")
    assert [caller.status for caller in callers].count(503) == 3
    assert all(caller.error["outcome"] == "not_run" for caller in callers)


async def test_concurrency_limit_applies_to_its_team_only() -> None:
    """Guards against a limit that is not enforced, is never released or affects other teams."""
    release = asyncio.Event()

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await respond_with(b"{}")(request, writer)

    cfg = make_config(make_team("a", concurrent_requests=3), make_team("b"))
    agent = FakeAgent("s1", script)
    async with running_router([agent], cfg=cfg) as router:
        first = [
            asyncio.create_task(router.caller().chat(stream=False, text=str(n))) for n in range(3)
        ]
        while len(agent.requests) < 3:
            await asyncio.sleep(0.01)
        refused = await router.caller().chat(stream=False)
        other = asyncio.create_task(router.caller().chat(stream=False, team="b"))
        while len(agent.requests) < 4:
            await asyncio.sleep(0.01)
        release.set()
        callers = await asyncio.gather(*first, other)
        again = await router.caller().chat(stream=False)
    assert (refused.status, refused.error["code"]) == (429, "team_limit")
    assert refused.error["outcome"] == "not_run"
    assert "retry-after" in refused.headers
    assert [caller.status for caller in callers] == [200] * 4
    assert (again.status, json.loads(again.body)) == (200, {})
