"""Reuse of cached prompts through the loss and return of one engine."""

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

TARGET = 0.9
"""Share of the reuse that a complete view reaches."""
SECONDS = 24.0
CHATS = 50
LOST_AFTER_S = 10.0
SETTLE_S = 3.0
SHAPE = ChatShape(
    teams=("phones", "laptops", "tablets", "printers", "audio", "appliances"),
    model="bench",
    turns=8,
    think_s=(0.3, 2.0),
)


async def measure_reuse() -> dict[str, Any]:
    """Measure the share of reusable prompt tokens that were found cached, per policy.

    All policies get chats from the same seed, one after the other on the same engines, whose caches
    are emptied in between. One engine crashes with its cache during each run.
    """
    async with open_session(plan_sabarmati()) as session:
        tally = Tally()
        caller = Caller(
            client=session.client,
            routers=session.fleet.router_urls,
            tally=tally,
            rng=random.Random(SEED),
        )
        # Warms the agents' limits, as for a fleet that has run for a while.
        await _hold_chats(caller, seconds=SETTLE_S * 3)
        await _empty_caches(session)
        tally.reset()
        results = {"cornellead": await _run(session, caller, tally)}
        rng = random.Random(SEED)
        policies: list[Policy] = [
            RandomPolicy(rng=rng),
            LeastLoadedPolicy(rng=rng),
            RendezvousPolicy(),
            CompleteViewPolicy(),
        ]
        for policy in policies:
            await _empty_caches(session)
            results[policy.name] = await _run_policy(session, policy)
    best = results["complete_view"]["prompt_reuse"]
    share = results["cornellead"]["prompt_reuse"] / best if best else 0.0
    return {
        "met": share >= TARGET,
        "target": TARGET,
        "share_of_best": round(share, 4),
        "policies": results,
    }


async def _run_policy(session: Session, policy: Policy) -> dict[str, Any]:
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
    return await _run(session, caller, tally)


async def _run(session: Session, caller: ChatSender, tally: Tally) -> dict[str, Any]:
    losing = asyncio.create_task(_lose_engine(session))
    await _hold_chats(caller, seconds=SECONDS)
    await losing
    return {
        "prompt_reuse": round(tally.prompt_reuse, 4),
        "requests": tally.requests,
        "completed": tally.completed,
        "first_token_ms_p95": round(tally.first_token_ms(0.95), 1),
        "broken": tally.broken,
    }


async def _hold_chats(caller: ChatSender, *, seconds: float) -> None:
    load = ChatLoad(caller=caller, shape=SHAPE, rng=random.Random(SEED))
    await load.run(chats=CHATS, stop_at=time.monotonic() + seconds)


async def _lose_engine(session: Session) -> None:
    await asyncio.sleep(LOST_AFTER_S)
    engine = session.fleet.plan.engines[0]
    await asyncio.to_thread(session.fleet.set_faults, engine.name, crash=True)


async def _empty_caches(session: Session) -> None:
    for engine in session.fleet.plan.engines:
        await asyncio.to_thread(session.fleet.set_faults, engine.name, crash=True)
    await asyncio.sleep(SETTLE_S)
