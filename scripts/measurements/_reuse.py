"""Reuse of cached prompts while one engine crashes and restarts, compared between policies."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING
from typing import Any

from scripts.fleet import plan_sabarmati
from scripts.measurements._policies import CompleteViewPolicy
from scripts.measurements._policies import LeastLoadedPolicy
from scripts.measurements._policies import PolicyCaller
from scripts.measurements._policies import RandomPolicy
from scripts.measurements._policies import RendezvousPolicy
from scripts.measurements._session import SEED
from scripts.measurements._session import open_session
from scripts.traffic import Caller
from scripts.traffic import ChatLoad
from scripts.traffic import ChatShape
from scripts.traffic import Tally

if TYPE_CHECKING:
    from scripts.measurements._policies import Policy
    from scripts.measurements._session import Session
    from scripts.traffic import ChatSender

TARGET_FRACTION = 0.9
"""Smallest acceptable reuse, as a fraction of the reuse of `CompleteViewPolicy`."""
DURATION_S = 24.0
CONCURRENT_CHATS = 50
CRASH_AT_S = 10.0
SETTLE_S = 3.0
SHAPE = ChatShape(
    teams=("phones", "laptops", "tablets", "printers", "audio", "appliances"),
    model="bench",
    turns=8,
    think_s=(0.3, 2.0),
)


async def measure_reuse() -> dict[str, Any]:
    """Measure the fraction of reusable prompt tokens that were cached, for the fleet and policies.

    The runs use chats from the same seed on the same engines, one run after the other with empty
    caches at the start. In each run one engine crashes and loses its cache.
    """
    async with open_session(plan_sabarmati()) as session:
        tally = Tally()
        caller = Caller(
            client=session.client,
            routers=session.fleet.router_urls,
            tally=tally,
            rng=random.Random(SEED),
        )
        # Raises the cold start limits of the agents to those of a fleet in steady operation.
        await _run_chats(caller, seconds=SETTLE_S * 3)
        await _clear_caches(session)
        tally.reset()
        results = {"cornellead": await _measure_run(session, caller, tally)}
        rng = random.Random(SEED)
        policies: list[Policy] = [
            RandomPolicy(rng=rng),
            LeastLoadedPolicy(rng=rng),
            RendezvousPolicy(),
            CompleteViewPolicy(),
        ]
        for policy in policies:
            await _clear_caches(session)
            results[policy.name] = await _measure_policy(session, policy)
    best_reuse = results["complete_view"]["prompt_reuse"]
    fraction_of_best = results["cornellead"]["prompt_reuse"] / best_reuse if best_reuse else 0.0
    return {
        "met": fraction_of_best >= TARGET_FRACTION,
        "target": TARGET_FRACTION,
        "share_of_best": round(fraction_of_best, 4),
        "policies": results,
    }


async def _measure_policy(session: Session, policy: Policy) -> dict[str, Any]:
    tally = Tally()
    engines = {
        server.name: session.fleet.server_url(server.name) for server in session.fleet.plan.engines
    }
    caller = PolicyCaller(
        policy=policy,
        engines=engines,
        client=session.client,
        tally=tally,
        rng=random.Random(SEED),
    )
    return await _measure_run(session, caller, tally)


async def _measure_run(session: Session, caller: ChatSender, tally: Tally) -> dict[str, Any]:
    crash_task = asyncio.create_task(_crash_engine(session))
    await _run_chats(caller, seconds=DURATION_S)
    await crash_task
    return {
        "prompt_reuse": round(tally.prompt_reuse, 4),
        "requests": tally.requests,
        "completed": tally.completed,
        "first_token_ms_p95": round(tally.first_token_quantile_ms(0.95), 1),
        "broken": tally.violations,
    }


async def _run_chats(caller: ChatSender, *, seconds: float) -> None:
    load = ChatLoad(caller=caller, shape=SHAPE, rng=random.Random(SEED))
    await load.run(chats=CONCURRENT_CHATS, stop_at=time.monotonic() + seconds)


async def _crash_engine(session: Session) -> None:
    await asyncio.sleep(CRASH_AT_S)
    engine = session.fleet.plan.engines[0]
    await asyncio.to_thread(session.fleet.set_faults, engine.name, crash=True)


async def _clear_caches(session: Session) -> None:
    for engine in session.fleet.plan.engines:
        await asyncio.to_thread(session.fleet.set_faults, engine.name, crash=True)
    await asyncio.sleep(SETTLE_S)
