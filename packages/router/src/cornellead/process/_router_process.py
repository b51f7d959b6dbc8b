"""One router process."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from cornellead.api import ChatHandler
from cornellead.api import HttpApp
from cornellead.api import InProgress
from cornellead.api import Status
from cornellead.dispatch import AgentCaller
from cornellead.dispatch import ChatDispatcher
from cornellead.dispatch import HintSender
from cornellead.fleet import ServerView
from cornellead.process._drain import Drain
from cornellead.process._http_server import HttpServer
from cornellead.process._pool_janitor import PoolJanitor
from cornellead.stats import RouterStats
from cornellead.upstream import AgentPool
from cornellead.waiting import WaitingRoom
from cornellead_core.blackboard import run_controllers
from cornellead_core.metrics import Metrics
from cornellead_core.retries import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cornellead_core.auth import FleetKey
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.blackboard import Controller
    from cornellead_core.settings import RouterSettings
    from cornellead_core.wire import ControlClient
    from cornellead_core.wire import Traffic


class RouterProcess:
    """Builds the parts of a router around one blackboard and runs them.

    Must be created on the event loop that runs it.

    :param on_newer_config: Called with the control address of a peer whose configuration is newer.
    """

    def __init__(
        self,
        *,
        settings: RouterSettings,
        board: Blackboard,
        key: FleetKey,
        traffic: Traffic,
        control: ControlClient,
        on_newer_config: Callable[[str], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        process = settings.process
        metrics = Metrics()
        view = ServerView()
        self._pool = AgentPool(loop=loop)
        self._room = WaitingRoom(max_waiting=settings.max_waiting)
        self._hints = HintSender(client=control)
        stats = RouterStats(metrics=metrics)
        budget = RetryBudget(ratio=settings.retry_ratio, min_per_s=settings.retry_min_per_s)
        in_progress = InProgress()
        caller = AgentCaller(
            board=board, pool=self._pool, view=view, key=key, on_newer_config=on_newer_config
        )
        dispatcher = ChatDispatcher(
            board=board,
            caller=caller,
            view=view,
            room=self._room,
            budget=budget,
            hints=self._hints,
            attempts=settings.placement_attempts,
        )
        chat = ChatHandler(
            board=board,
            settings=settings,
            dispatcher=dispatcher,
            view=view,
            budget=budget,
            stats=stats,
            in_progress=in_progress,
        )
        self.status = Status(
            process=process,
            board=board,
            caller=caller,
            room=self._room,
            budget=budget,
            hints=self._hints,
            stats=stats,
            traffic=traffic,
            started_at=loop.time(),
        )
        app = HttpApp(chat=chat, board=board, metrics=metrics, status=self.status)
        self._server = HttpServer(app=app.build(), address=process.http)
        self._drain = Drain(board=board, in_progress=in_progress, timeout_s=process.drain_timeout_s)
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping.set()

    async def run(self, controllers: Sequence[Controller]) -> int:
        """Serve until a planned stop is complete.

        :param controllers: Further controllers of the process.
        :returns: Number of requests that exceeded the drain time.
        """
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.stop)
        own: list[Controller] = [self._room, self._hints, PoolJanitor(pool=self._pool)]
        background = asyncio.create_task(run_controllers([*own, *controllers]))
        serving = asyncio.create_task(self._server.serve())
        stopping = asyncio.create_task(self._stopping.wait())
        await asyncio.wait([background, serving, stopping], return_when=asyncio.FIRST_COMPLETED)
        exceeded = 0
        if stopping.done() and not serving.done():
            exceeded = await self._drain.run()
        self._server.should_exit = True
        self._server.force_exit = True
        await serving
        stopping.cancel()
        background.cancel()
        self._pool.close()
        # A controller that failed is a broken invariant: its exception ends the process.
        try:
            await background
        except asyncio.CancelledError:
            pass
        return exceeded
