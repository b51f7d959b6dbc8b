"""Wires up the components of the agent process and runs them."""

from __future__ import annotations

import asyncio
import secrets
import signal
import time
from typing import TYPE_CHECKING

import httpx
import structlog
from returns.result import Success

from cornellead_agent.admission import AdmissionController
from cornellead_agent.admission import ColdLimit
from cornellead_agent.api import AgentMetrics
from cornellead_agent.api import CacheEndpoint
from cornellead_agent.api import ChatEndpoint
from cornellead_agent.api import RelayCounters
from cornellead_agent.api import RouterRequestHandler
from cornellead_agent.api import ServiceEndpoint
from cornellead_agent.api import StatusView
from cornellead_agent.api import SystemClock
from cornellead_agent.api import build_app
from cornellead_agent.api import encode_rejection
from cornellead_agent.chats import ChatIndex
from cornellead_agent.engine import CacheWatcher
from cornellead_agent.engine import EngineReconciler
from cornellead_agent.engine import FencingToken
from cornellead_agent.engine import ServerMonitor
from cornellead_agent.exchange import LoadExchanger
from cornellead_agent.process._cache_handoff import CacheHandoff
from cornellead_agent.process._config_puller import ConfigPuller
from cornellead_agent.process._drainer import Drainer
from cornellead_agent.relay import EngineClient
from cornellead_agent.relay import Upstream
from cornellead_agent.services import ServiceHandler
from cornellead_core.auth import FleetKey
from cornellead_core.blackboard import Blackboard
from cornellead_core.blackboard import run_controllers
from cornellead_core.distribution import ConfigDistributor
from cornellead_core.distribution import HostDistributor
from cornellead_core.load import LoadTable
from cornellead_core.load import ServerState
from cornellead_core.metrics import Metrics
from cornellead_core.pacing import ReadPacer
from cornellead_core.platform import HttpHostList
from cornellead_core.platform import HttpLogClient
from cornellead_core.serving import HttpServer
from cornellead_core.serving import HttpServing
from cornellead_core.wire import Ack
from cornellead_core.wire import CacheHint
from cornellead_core.wire import ControlClient
from cornellead_core.wire import ControlServer
from cornellead_core.wire import LoadExchange
from cornellead_core.wire import LoadReportMessage
from cornellead_core.wire import Traffic

if TYPE_CHECKING:
    from cornellead_core.blackboard import Controller
    from cornellead_core.settings import AgentSettings
    from cornellead_core.wire import Message


class Agent:
    """One agent: its state, its controllers, its HTTP listener and its control listener.

    Must be created inside a running event loop.
    """

    def __init__(self, *, settings: AgentSettings) -> None:
        self._settings = settings
        self._logger = structlog.get_logger()
        process = settings.process
        clock = SystemClock()
        key = FleetKey(secret=process.fleet_key.encode())
        self._board = Blackboard()
        self._traffic = Traffic()
        self._table = LoadTable()
        self._chats = ChatIndex()
        # The platform and the server speak plain HTTP: verify=False avoids a TLS context, which
        # takes megabytes.
        self._http_client = httpx.AsyncClient(verify=False, trust_env=False)
        self._pacer = ReadPacer(call_soon=asyncio.get_running_loop().call_soon)
        self._engine_client = EngineClient(
            url=settings.server.url, pacer=self._pacer, leaving=self._is_leaving
        )
        self._upstream = Upstream(client=self._engine_client)
        self._control_client = ControlClient(key=key, traffic=self._traffic)
        self._cold_limit = ColdLimit(
            start=settings.cold_start_limit,
            capacity=settings.server.capacity,
            ceiling_s=settings.first_token_ceiling_s,
        )
        self._admission = AdmissionController(
            settings=settings,
            board=self._board,
            table=self._table,
            cold_limit=self._cold_limit,
            chats=self._chats,
            incarnation=clock.unix_ms(),
            started_at=clock.monotonic(),
        )
        self._exchanger = LoadExchanger(
            settings=settings,
            board=self._board,
            table=self._table,
            admission=self._admission,
            client=self._control_client,
        )
        log = HttpLogClient(client=self._http_client, url=process.platform_url)
        self._config_distributor = ConfigDistributor(
            board=self._board, log=log, client=self._control_client, settings=process
        )
        self._host_distributor = HostDistributor(
            board=self._board,
            host_list=HttpHostList(client=self._http_client, url=process.platform_url),
            client=self._control_client,
            settings=process,
        )
        self._engine_reconciler = EngineReconciler(
            server=process.name,
            board=self._board,
            client=self._engine_client,
            fence=FencingToken(log=log, server=process.name, owner=secrets.token_hex(8)),
        )
        self._service_handler: ServiceHandler | None = None
        if settings.server.service:
            self._service_handler = ServiceHandler(
                settings=settings,
                board=self._board,
                log=log,
                client=self._http_client,
                incarnation=clock.unix_ms(),
                leaving=self._is_leaving,
            )
        self._cache_handoff = CacheHandoff(
            settings=settings,
            board=self._board,
            chats=self._chats,
            engine=self._engine_client,
            pacer=self._pacer,
            key=key,
            clock=clock,
        )
        counters = RelayCounters()
        request_handler = RouterRequestHandler(
            key=key, board=self._board, table=self._table, admission=self._admission, clock=clock
        )
        metrics = Metrics()
        self._serving = HttpServing(
            pacer=self._pacer,
            settings=process,
            metrics=metrics,
            encode_rejection=encode_rejection,
        )
        self._control_server = ControlServer(
            address=process.control,
            key=key,
            traffic=self._traffic,
            handler=self._handle_message,
            pacer=self._pacer,
            budget=self._serving.budget,
            max_connections=process.max_control_connections,
        )
        self._control_server.register_metrics(metrics)
        status = StatusView(
            settings=settings,
            board=self._board,
            admission=self._admission,
            cold_limit=self._cold_limit,
            chats=self._chats,
            counters=counters,
            traffic=self._traffic,
            clock=clock,
        )
        self._app = build_app(
            chat=ChatEndpoint(
                request_handler=request_handler,
                admission=self._admission,
                board=self._board,
                chats=self._chats,
                cold_limit=self._cold_limit,
                upstream=self._upstream,
                counters=counters,
                clock=clock,
            ),
            service=ServiceEndpoint(
                service=settings.server.service,
                request_handler=request_handler,
                board=self._board,
                admission=self._admission,
                cold_limit=self._cold_limit,
                handler=self._service_handler,
                clock=clock,
            ),
            cache=CacheEndpoint(
                request_handler=request_handler,
                admission=self._admission,
                chats=self._chats,
                client=self._engine_client,
                clock=clock,
            ),
            status=status,
            admission=self._admission,
            metrics=AgentMetrics(metrics=metrics, status=status),
        )

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, or a controller fails, then drain and shut down.

        :returns: Exit status; 1 if the settings are incompatible with the platform's log.
        """
        if self._service_handler is not None:
            check_result = await self._service_handler.check_log()
            if not isinstance(check_result, Success):
                self._logger.error("settings_do_not_fit_the_log", problem=check_result.failure())
                return 1
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop_requested.set)
        server = self._make_server()
        server_task = asyncio.create_task(server.serve())
        controllers_task = asyncio.create_task(run_controllers(self._controllers()))
        stop_task = asyncio.create_task(stop_requested.wait())
        await asyncio.wait(
            {server_task, controllers_task, stop_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if not server_task.done():
            drainer = Drainer(
                board=self._board,
                admission=self._admission,
                service_handler=self._service_handler,
                active=self._upstream.active,
                timeout_s=self._settings.process.drain_timeout_s,
            )
            handoff_task = asyncio.create_task(self._cache_handoff.run())
            await drainer.drain()
            handoff_task.cancel()
            await asyncio.gather(handoff_task, return_exceptions=True)
        server.should_exit = True
        await server_task
        stop_task.cancel()
        controllers_task.cancel()
        await asyncio.gather(controllers_task, return_exceptions=stop_requested.is_set())
        self._control_client.close()
        self._engine_client.close()
        await self._http_client.aclose()
        return 0

    def _is_leaving(self) -> bool:
        return self._admission.state is ServerState.DRAINING

    def _controllers(self) -> list[Controller]:
        if self._service_handler is not None:
            server_controllers = self._service_handler.controllers()
        else:
            server_controllers = [
                CacheWatcher(board=self._board, client=self._engine_client, chats=self._chats),
                self._engine_reconciler,
            ]
        return [
            *server_controllers,
            self._host_distributor,
            self._config_distributor,
            ConfigPuller(
                board=self._board,
                distributor=self._config_distributor,
                settings=self._settings.process,
            ),
            ServerMonitor(
                dc=self._settings.process.dc,
                board=self._board,
                client=self._engine_client,
                cold_limit=self._cold_limit,
                chats=self._chats,
            ),
            self._control_server,
            self._exchanger,
        ]

    async def _handle_message(self, message: Message) -> Message:
        if isinstance(message, LoadExchange | LoadReportMessage):
            return self._exchanger.handle(message)
        if isinstance(message, CacheHint):
            self._chats.add_hint(message.chat, message.server, now=time.monotonic())
            return Ack()
        reply = await self._host_distributor.handle(message)
        if reply is None:
            reply = await self._config_distributor.handle(message)
        return Ack() if reply is None else reply

    def _make_server(self) -> HttpServer:
        return HttpServer(
            app=self._app,
            address=self._settings.process.http,
            serving=self._serving,
            log_level="warning",
            timeout_graceful_shutdown=2,
        )
