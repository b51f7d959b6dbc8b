"""Composition of the agent process."""

from __future__ import annotations

import asyncio
import secrets
import signal
import time
from typing import TYPE_CHECKING

import httpx
import structlog
import uvicorn
from returns.result import Success

from cornellead_agent.admission import ColdLimit
from cornellead_agent.admission import Gate
from cornellead_agent.api import AgentMetrics
from cornellead_agent.api import CacheEndpoint
from cornellead_agent.api import ChatEndpoint
from cornellead_agent.api import Endpoint
from cornellead_agent.api import RelayCounters
from cornellead_agent.api import ServiceEndpoint
from cornellead_agent.api import StatusView
from cornellead_agent.api import SystemClock
from cornellead_agent.api import build_app
from cornellead_agent.chats import ChatIndex
from cornellead_agent.engine import CacheWatcher
from cornellead_agent.engine import Commander
from cornellead_agent.engine import Fence
from cornellead_agent.engine import ServerMonitor
from cornellead_agent.exchange import LoadExchanger
from cornellead_agent.process._cache_handoff import CacheHandoff
from cornellead_agent.process._config_puller import ConfigPuller
from cornellead_agent.process._drainer import Drainer
from cornellead_agent.process._http_server import HttpServer
from cornellead_agent.relay import EngineClient
from cornellead_agent.relay import Upstream
from cornellead_agent.services import ServiceHandler
from cornellead_core.auth import FleetKey
from cornellead_core.blackboard import Blackboard
from cornellead_core.blackboard import run_controllers
from cornellead_core.distribution import ConfigDistributor
from cornellead_core.distribution import HostDistributor
from cornellead_core.load import LoadTable
from cornellead_core.metrics import Metrics
from cornellead_core.platform import HttpHostList
from cornellead_core.platform import HttpLog
from cornellead_core.wire import Ack
from cornellead_core.wire import ControlClient
from cornellead_core.wire import ControlServer
from cornellead_core.wire import Hint
from cornellead_core.wire import LoadExchange
from cornellead_core.wire import Report
from cornellead_core.wire import Traffic

if TYPE_CHECKING:
    from cornellead_core.blackboard import Controller
    from cornellead_core.settings import AgentSettings
    from cornellead_core.wire import Message


class Agent:
    """One agent: its state, its controllers and its HTTP listener."""

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
        # The platform and the server are met over plain HTTP; a TLS context costs megabytes.
        self._http = httpx.AsyncClient(verify=False, trust_env=False)
        self._engine = EngineClient(url=settings.server.url)
        self._upstream = Upstream(client=self._engine)
        self._control = ControlClient(key=key, traffic=self._traffic)
        self._cold_limit = ColdLimit(
            start=settings.cold_start_limit,
            capacity=settings.server.capacity,
            ceiling_s=settings.first_token_ceiling_s,
        )
        self._gate = Gate(
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
            gate=self._gate,
            client=self._control,
        )
        self._control_server = ControlServer(
            address=process.control, key=key, traffic=self._traffic, handler=self._handle
        )
        log = HttpLog(client=self._http, url=process.platform_url)
        self._distributor = ConfigDistributor(
            board=self._board, log=log, client=self._control, settings=process
        )
        self._hosts = HostDistributor(
            board=self._board,
            host_list=HttpHostList(client=self._http, url=process.platform_url),
            client=self._control,
            settings=process,
        )
        self._commander = Commander(
            server=process.name,
            board=self._board,
            client=self._engine,
            fence=Fence(log=log, server=process.name, owner=secrets.token_hex(8)),
        )
        self._services: ServiceHandler | None = None
        if settings.server.service:
            self._services = ServiceHandler(
                settings=settings,
                board=self._board,
                log=log,
                client=self._http,
                incarnation=clock.unix_ms(),
            )
        self._handoff = CacheHandoff(
            settings=settings,
            board=self._board,
            chats=self._chats,
            engine=self._engine,
            key=key,
            clock=clock,
        )
        counters = RelayCounters()
        endpoint = Endpoint(
            key=key, board=self._board, table=self._table, gate=self._gate, clock=clock
        )
        status = StatusView(
            settings=settings,
            board=self._board,
            gate=self._gate,
            cold_limit=self._cold_limit,
            chats=self._chats,
            counters=counters,
            traffic=self._traffic,
            clock=clock,
        )
        self._app = build_app(
            chat=ChatEndpoint(
                endpoint=endpoint,
                gate=self._gate,
                board=self._board,
                chats=self._chats,
                cold_limit=self._cold_limit,
                upstream=self._upstream,
                counters=counters,
                clock=clock,
            ),
            service=ServiceEndpoint(
                service=settings.server.service,
                endpoint=endpoint,
                board=self._board,
                gate=self._gate,
                cold_limit=self._cold_limit,
                handler=self._services,
                clock=clock,
            ),
            cache=CacheEndpoint(
                endpoint=endpoint,
                gate=self._gate,
                chats=self._chats,
                client=self._engine,
                clock=clock,
            ),
            status=status,
            gate=self._gate,
            metrics=AgentMetrics(metrics=Metrics(), status=status),
        )

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then drain and return.

        :returns: Exit status; 1 when the settings do not fit the platform's log.
        """
        if self._services is not None:
            checked = await self._services.check_log()
            if not isinstance(checked, Success):
                self._logger.error("settings_do_not_fit_the_log", problem=checked.failure())
                return 1
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        server = self._make_server()
        serving = asyncio.create_task(server.serve())
        controlling = asyncio.create_task(run_controllers(self._controllers()))
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait({serving, controlling, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if stop.is_set():
            drainer = Drainer(
                board=self._board,
                gate=self._gate,
                services=self._services,
                active=self._upstream.active,
                timeout_s=self._settings.process.drain_timeout_s,
            )
            handing = asyncio.create_task(self._handoff.run())
            await drainer.drain()
            handing.cancel()
            await asyncio.gather(handing, return_exceptions=True)
        server.should_exit = True
        await serving
        stopping.cancel()
        controlling.cancel()
        await asyncio.gather(controlling, return_exceptions=stop.is_set())
        self._control.close()
        self._engine.close()
        await self._http.aclose()
        return 0

    def _controllers(self) -> list[Controller]:
        if self._services is not None:
            beside = self._services.controllers()
        else:
            beside = [
                CacheWatcher(board=self._board, client=self._engine, chats=self._chats),
                self._commander,
            ]
        return [
            *beside,
            self._hosts,
            self._distributor,
            ConfigPuller(
                board=self._board,
                distributor=self._distributor,
                settings=self._settings.process,
            ),
            ServerMonitor(
                dc=self._settings.process.dc,
                board=self._board,
                client=self._engine,
                cold_limit=self._cold_limit,
                chats=self._chats,
            ),
            self._control_server,
            self._exchanger,
        ]

    async def _handle(self, message: Message) -> Message:
        if isinstance(message, LoadExchange | Report):
            return self._exchanger.handle(message)
        if isinstance(message, Hint):
            self._chats.hint(message.chat, message.server, now=time.monotonic())
            return Ack()
        answer = await self._hosts.handle(message)
        if answer is None:
            answer = await self._distributor.handle(message)
        return Ack() if answer is None else answer

    def _make_server(self) -> HttpServer:
        host, _, port = self._settings.process.http.rpartition(":")
        config = uvicorn.Config(
            self._app,
            host=host,
            port=int(port),
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="off",
            access_log=False,
            log_level="warning",
            timeout_graceful_shutdown=2,
        )
        return HttpServer(config)
