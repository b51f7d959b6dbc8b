"""Wait queue: priorities, fairness over teams, and what a surge of one team may do."""

from __future__ import annotations

import asyncio
import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from tests.router.fake_agent import FakeAgent
from tests.router.fake_agent import FakeRequest
from tests.router.fake_agent import answer
from tests.router.fake_agent import refuse
from tests.router.harness import Caller
from tests.router.harness import make_config
from tests.router.harness import make_team
from tests.router.harness import running

from cornellead.waiting import Ticket
from cornellead.waiting import WaitQueue
from cornellead_core import headers
from cornellead_core.config import Priority

requests = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(list(Priority)), st.integers(1, 4)),
    max_size=40,
)


def serve_all(queue: WaitQueue) -> list[Ticket]:
    """Serve everything that waits."""
    served = []
    while (ticket := queue.head()) is not None:
        queue.serve(ticket)
        served.append(ticket)
    return served


@given(pushed=requests)
@settings(max_examples=200, derandomize=True)
def test_interactive_requests_are_served_before_batch(
    pushed: list[tuple[str, Priority, int]],
) -> None:
    """Guards against a batch request that delays an interactive one, and against lost requests."""
    queue = WaitQueue()
    for team, priority, weight in pushed:
        queue.push(team=team, weight=float(weight), priority=priority)
    served = serve_all(queue)
    assert len(served) == len(pushed)
    assert [ticket.rank for ticket in served] == sorted(ticket.rank for ticket in served)
    for team in "abc":
        for rank in (0, 1):
            order = [t.seq for t in served if t.team == team and t.rank == rank]
            assert order == sorted(order)


@given(
    quiet=st.integers(1, 20),
    surge=st.integers(1, 200),
    weights=st.tuples(st.integers(1, 4), st.integers(1, 4)),
    surge_first=st.booleans(),
)
@settings(max_examples=200, derandomize=True)
def test_service_is_shared_by_weight(
    quiet: int, surge: int, weights: tuple[int, int], surge_first: bool
) -> None:
    """Guards against a team that gets more by sending more while another one waits."""
    queue = WaitQueue()
    teams = [("surge", surge, weights[0]), ("quiet", quiet, weights[1])]
    for team, number, weight in teams if surge_first else reversed(teams):
        for _ in range(number):
            queue.push(team=team, weight=float(weight), priority=Priority.INTERACTIVE)
    served = [ticket.team for ticket in serve_all(queue)]
    last = max(index for index, team in enumerate(served) if team == "quiet")
    overtaking = served[: last + 1].count("surge")
    # Weighted fair queuing lets another team ahead by its share and at most one more request.
    assert overtaking <= quiet * weights[0] / weights[1] + 1


async def test_tenfold_surge_leaves_the_other_team_its_share() -> None:
    """Guards against one team's surge that keeps another team waiting behind it."""
    free = 0
    order: list[str] = []

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal free
        if not free:
            await refuse("over_bound")(request, writer)
            return
        free -= 1
        order.append(request.headers[headers.TEAM])
        await answer(b"{}")(request, writer)

    async with running([FakeAgent("s1", script)]) as router:
        surge = [
            asyncio.create_task(router.caller().chat(stream=False, text=str(n), team="a"))
            for n in range(50)
        ]
        while len(router.parts.room) < 50:
            await asyncio.sleep(0.01)
        quiet = [
            asyncio.create_task(router.caller().chat(stream=False, text=str(n), team="b"))
            for n in range(5)
        ]
        while len(router.parts.room) < 55:
            await asyncio.sleep(0.01)
        free = 20
        await asyncio.gather(*quiet)
        free = 100
        callers = await asyncio.gather(*surge)
    assert order[:11].count("b") == 5
    assert [caller.status for caller in callers] == [200] * 50


async def test_waiting_batch_request_never_overtakes_interactive_ones() -> None:
    """Guards against a freed place that goes to batch while an interactive request waits."""
    free = 0
    order: list[str] = []

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal free
        if not free:
            await refuse("over_bound")(request, writer)
            return
        free -= 1
        order.append(request.headers[headers.PRIORITY])
        await answer(b"{}")(request, writer)

    async with running([FakeAgent("s1", script)]) as router:
        tasks: list[asyncio.Task[Caller]] = []
        for priority in ("batch", "batch", "interactive", "interactive"):
            call = router.caller().chat(stream=False, text=str(len(tasks)), x_priority=priority)
            tasks.append(asyncio.create_task(call))
            while len(router.parts.room) < len(tasks):
                await asyncio.sleep(0.01)
        free = 4
        await asyncio.gather(*tasks)
    assert order == ["interactive", "interactive", "batch", "batch"]


async def test_full_room_drops_the_team_with_most_requests() -> None:
    """Guards against a surge that fills the queue and keeps other teams out."""
    agent = FakeAgent("s1", refuse("over_bound"))
    async with running([agent], max_waiting=10) as router:
        surge = [
            asyncio.create_task(router.caller().chat(text=str(n), team="a", x_deadline_ms="2000"))
            for n in range(12)
        ]
        refused, _ = await asyncio.wait(surge, return_when=asyncio.FIRST_COMPLETED)
        other = asyncio.create_task(router.caller().chat(team="b", x_deadline_ms="300"))
        evicted = await other
        callers = await asyncio.gather(*surge)
    assert refused
    assert (evicted.status, evicted.error["code"]) == (504, "deadline")
    assert [caller.status for caller in callers].count(503) == 3
    assert all(caller.error["outcome"] == "not_run" for caller in callers)


async def test_team_limit_refuses_only_that_team() -> None:
    """Guards against limits that are not enforced or that hit other teams."""
    release = asyncio.Event()

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await answer(b"{}")(request, writer)

    cfg = make_config(make_team("a", concurrent_requests=3), make_team("b"))
    agent = FakeAgent("s1", script)
    async with running([agent], cfg=cfg) as router:
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
