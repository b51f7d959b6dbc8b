"""Assembly of the components that handle requests from callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.api import ChatHandler
from cornellead.api import HttpApp
from cornellead.api import RequestRunner
from cornellead.api import RequestTracker
from cornellead.api import ServiceHandler
from cornellead.api import StatusCollector
from cornellead.dispatch import AgentClient
from cornellead.dispatch import ChatDispatcher
from cornellead.dispatch import HintSender
from cornellead.dispatch import ServiceDispatcher
from cornellead.fleet import ServerView
from cornellead.limits import TeamLimiter
from cornellead.process._idle_connection_closer import IdleConnectionCloser
from cornellead.stats import RouterStats
from cornellead.upstream import ConnectionPool
from cornellead.waiting import AttemptScheduler
from cornellead.waiting import WaitQueues
from cornellead_core.metrics import Metrics
from cornellead_core.retries import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from litestar import Litestar

    from cornellead_core.auth import FleetKey
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.blackboard import Controller
    from cornellead_core.distribution import ControlRequester
    from cornellead_core.pacing import ReadPacer
    from cornellead_core.settings import RouterSettings
    from cornellead_core.wire import Traffic


class DataPath:
    """Builds the data path of a router around one blackboard.

    Must be created inside a running event loop.

    :param on_newer_config: Called with the control address of a peer with a newer configuration.
    :param pacer: Shares the reads of the process among peers; by default, it has no others.
    """

    def __init__(
        self,
        *,
        settings: RouterSettings,
        board: Blackboard,
        key: FleetKey,
        traffic: Traffic,
        control: ControlRequester,
        on_newer_config: Callable[[str], None],
        pacer: ReadPacer | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.metrics = metrics = Metrics()
        self.view = view = ServerView()
        self.pool = ConnectionPool(loop=loop, pacer=pacer)
        self.wait_queues = WaitQueues(max_waiting=settings.max_waiting)
        self.hints = HintSender(client=control)
        self.stats = RouterStats(metrics=metrics)
        budget = RetryBudget(ratio=settings.retry_ratio, min_per_s=settings.retry_min_per_s)
        self.request_tracker = RequestTracker()
        self.team_limiter = TeamLimiter(
            board=board, name=settings.process.name, started_at=loop.time()
        )
        agent_client = AgentClient(
            board=board, pool=self.pool, view=view, key=key, on_newer_config=on_newer_config
        )
        scheduler = AttemptScheduler(
            wait_queues=self.wait_queues, wait_latency=self.stats.queue_latency
        )
        dispatcher = ChatDispatcher(
            board=board,
            agent_client=agent_client,
            view=view,
            scheduler=scheduler,
            budget=budget,
            hints=self.hints,
            attempts=settings.placement_attempts,
        )
        runner = RequestRunner(stats=self.stats, tracker=self.request_tracker)
        chat = ChatHandler(
            board=board,
            settings=settings,
            dispatcher=dispatcher,
            view=view,
            budget=budget,
            team_limiter=self.team_limiter,
            stats=self.stats,
            runner=runner,
        )
        services = ServiceHandler(
            board=board,
            settings=settings,
            dispatcher=ServiceDispatcher(
                board=board,
                agent_client=agent_client,
                view=view,
                scheduler=scheduler,
                budget=budget,
                attempts=settings.placement_attempts,
            ),
            budget=budget,
            team_limiter=self.team_limiter,
            stats=self.stats,
            runner=runner,
        )
        self.status = StatusCollector(
            process=settings.process,
            board=board,
            agent_client=agent_client,
            wait_queues=self.wait_queues,
            budget=budget,
            hints=self.hints,
            stats=self.stats,
            traffic=traffic,
            started_at=loop.time(),
        )
        app = HttpApp(
            chat=chat,
            services=services,
            team_limiter=self.team_limiter,
            board=board,
            metrics=metrics,
            status=self.status,
        )
        self.app: Litestar = app.build()

    def controllers(self) -> list[Controller]:
        """Return the background controllers of the data path."""
        return [self.wait_queues, self.hints, IdleConnectionCloser(pool=self.pool)]
