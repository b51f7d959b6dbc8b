"""Assembly and main loop of a router process."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

import httpx

from cornellead.api import encode_rejection
from cornellead.limits import ShareController
from cornellead.process._config_puller import ConfigPuller
from cornellead.process._control_handler import ControlHandler
from cornellead.process._data_path import DataPath
from cornellead.process._drainer import Drainer
from cornellead.process._http_server import HttpServer
from cornellead_core.auth import FleetKey
from cornellead_core.blackboard import Blackboard
from cornellead_core.blackboard import run_controllers
from cornellead_core.distribution import ConfigDistributor
from cornellead_core.distribution import HostDistributor
from cornellead_core.pacing import ReadPacer
from cornellead_core.platform import HttpHostList
from cornellead_core.platform import HttpLogClient
from cornellead_core.serving import HttpServing
from cornellead_core.wire import ControlClient
from cornellead_core.wire import ControlServer
from cornellead_core.wire import Traffic

if TYPE_CHECKING:
    from cornellead_core.blackboard import Controller
    from cornellead_core.settings import RouterSettings


class RouterProcess:
    """Builds a router from its settings and runs it until a planned stop.

    Must be created inside a running event loop.
    """

    def __init__(self, *, settings: RouterSettings) -> None:
        process = settings.process
        board = Blackboard()
        key = FleetKey(secret=process.fleet_key.encode())
        traffic = Traffic()
        # The platform API is plain HTTP; a TLS context would take several megabytes of memory.
        self._http = httpx.AsyncClient(verify=False, trust_env=False)
        self._control = ControlClient(key=key, traffic=traffic)
        distributor = ConfigDistributor(
            board=board,
            log=HttpLogClient(client=self._http, url=process.platform_url),
            client=self._control,
            settings=process,
        )
        puller = ConfigPuller(distributor=distributor)
        pacer = ReadPacer(call_soon=asyncio.get_running_loop().call_soon)
        self._data_path = DataPath(
            settings=settings,
            board=board,
            pacer=pacer,
            key=key,
            traffic=traffic,
            control=self._control,
            on_newer_config=puller.request_pull,
        )
        shares = ShareController(
            board=board,
            team_limiter=self._data_path.team_limiter,
            client=self._control,
            router=process.name,
        )
        hosts = HostDistributor(
            board=board,
            host_list=HttpHostList(client=self._http, url=process.platform_url),
            client=self._control,
            settings=process,
        )
        handler = ControlHandler(distributor=distributor, hosts=hosts, shares=shares)
        serving = HttpServing(
            pacer=pacer,
            settings=process,
            metrics=self._data_path.metrics,
            encode_rejection=encode_rejection,
        )
        control_server = ControlServer(
            address=process.control,
            key=key,
            traffic=traffic,
            handler=handler.handle,
            pacer=pacer,
            budget=serving.budget,
            max_connections=process.max_control_connections,
        )
        control_server.register_metrics(self._data_path.metrics)
        self._controllers: list[Controller] = [
            hosts,
            distributor,
            puller,
            control_server,
            shares,
            *self._data_path.controllers(),
        ]
        self._server = HttpServer(app=self._data_path.app, address=process.http, serving=serving)
        self._drain = Drainer(
            board=board,
            tracker=self._data_path.request_tracker,
            timeout_s=process.drain_timeout_s,
        )
        self._stopping = asyncio.Event()

    async def run(self) -> int:
        """Serve until a signal or a failure of a controller, then drain and close all connections.

        :returns: Number of requests that exceeded the drain timeout.
        :raises ExceptionGroup: A controller failed with an exception.
        """
        # A full garbage collection that includes the imported modules blocks the event loop for
        # tens of milliseconds, so they are excluded from collection.
        gc.collect()
        gc.freeze()
        # Resets the object count that triggers the next full collection to the few objects that
        # are not frozen; otherwise tens of thousands of garbage objects pile up first.
        gc.collect()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._stopping.set)
        background = asyncio.create_task(run_controllers(self._controllers))
        serving = asyncio.create_task(self._server.serve())
        stopping = asyncio.create_task(self._stopping.wait())
        await asyncio.wait([background, serving, stopping], return_when=asyncio.FIRST_COMPLETED)
        # Also after a failure of a controller, which is no reason to cut requests.
        exceeded = 0 if serving.done() else await self._drain.run()
        self._server.should_exit = True
        self._server.force_exit = True
        await serving
        stopping.cancel()
        background.cancel()
        self._data_path.pool.close()
        self._control.close()
        await self._http.aclose()
        try:
            await background
        except asyncio.CancelledError:
            pass
        return exceeded
