"""Wiring and lifecycle of a gateway process."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.exchange import LoadExchange
from cornellead.gateway.exchange import QueueChannel
from cornellead.gateway.exchange import RolloutChannel
from cornellead.gateway.exchange import WorkChannel
from cornellead.gateway.forwarding import STALL_CHECK_INTERVAL_S
from cornellead.gateway.forwarding import Admission
from cornellead.gateway.forwarding import AttemptSender
from cornellead.gateway.forwarding import CrashWatch
from cornellead.gateway.forwarding import Forwarder
from cornellead.gateway.forwarding import ResponseRelay
from cornellead.gateway.forwarding import ServerPicker
from cornellead.gateway.ingress import FIRST_REFUSAL_STATUS
from cornellead.gateway.ingress import CallerListener
from cornellead.gateway.ingress import ServingState
from cornellead.gateway.policy import ColdStartLimiter
from cornellead.gateway.policy import RetryBudgets
from cornellead.gateway.policy import ServerRateLimiter
from cornellead.gateway.process._admin_handler import AdminHandler
from cornellead.gateway.process._caller_bounds import ADMIN_DESCRIPTOR_SHARE
from cornellead.gateway.process._caller_bounds import CALLER_DESCRIPTOR_SHARE
from cornellead.gateway.process._caller_bounds import PEER_DESCRIPTOR_SHARE
from cornellead.gateway.process._caller_bounds import find_bounds
from cornellead.gateway.process._caller_bounds import find_budget_bytes
from cornellead.gateway.process._clock import read_clock
from cornellead.gateway.process._gateway_gauges import GaugeSources
from cornellead.gateway.process._gateway_gauges import register_gauges
from cornellead.gateway.process._graceful_shutdown import GracefulShutdown
from cornellead.gateway.process._loop_watch import LoopWatch
from cornellead.gateway.process._server_cleanup import ServerCleanup
from cornellead.gateway.process._settings_watcher import SettingsWatcher
from cornellead.gateway.process._store_pace import StorePace
from cornellead.gateway.process._ticker import Ticker
from cornellead.gateway.relay import RelayedStore
from cornellead.gateway.relay import RelayHandler
from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import Announcer
from cornellead.gateway.sync import ContainedSink
from cornellead.gateway.sync import OperatorSink
from cornellead.gateway.sync import QuarantinePublisher
from cornellead.gateway.sync import ReportingSink
from cornellead.gateway.sync import RolloutController
from cornellead.gateway.sync import RouterSink
from cornellead.gateway.sync import ServerSink
from cornellead.gateway.sync import TopicReader
from cornellead.gateway.view import FleetView
from cornellead.upstream import ConnectionPool
from cornellead.upstream import PooledHttpClient
from cornellead_core.blackboard import supervise_controllers
from cornellead_core.buffers import BufferBudget
from cornellead_core.metrics import Metrics
from cornellead_core.pacing import ReadPacer
from cornellead_core.routing import CallerLimits
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from returns.result import Result

    from cornellead.gateway.ingress import RequestHandler
    from cornellead.gateway.sync import NoticeSink
    from cornellead_core.blackboard import Controller
    from cornellead_core.routing import GatewayStore
    from cornellead_core.routing import HttpClient
    from cornellead_core.routing import NodeSettings
    from cornellead_core.routing import WireFormat

CONNECT_TIMEOUT_S = 0.4
"""Timeout for connecting to a server; the network delay between hosts is a few milliseconds."""
OPERATOR_LONG_POLL_S = 1.0
"""Time for which the store holds a long poll for changes by operators. A stalled connection is
detected after this time plus the call timeout, which is within the bound on the delay of a
configuration change."""
ROLLOUTS_READ_INTERVAL_S = 1.0
"""Minimum interval between reads of the state of rollouts while one is open, unless a quarter of
the time to react to a bad version is shorter."""
MIN_ANNOUNCE_TIMEOUT_S = 0.1
"""Time to announce the stop if the grace period is used up: a quarter of the margin before SIGKILL,
the rest of which is left for the exit."""
POOL_CHECK_INTERVAL_S = 1.0
"""Interval at which the pool is checked for connections past their idle timeout."""
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16_384, body_bytes=4_194_304, header_timeout_s=3.0, idle_timeout_s=15.0
)
"""Caller limits until the first configuration is read."""


class GatewayProcess:
    """Builds the components of a gateway and runs them until a signal stops it.

    :param load: Reads and validates the settings file.
    :param open_store: Returns a client of the store that sends its requests with the given HTTP
        client.
    :param caller_socket: Socket that already listens on the address for callers, if any.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        settings_path: str,
        load: Callable[[str], Result[NodeSettings, str]],
        open_store: Callable[[HttpClient], GatewayStore],
        wire: WireFormat,
        ready_path: str,
        metrics_port: int,
        caller_socket: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._serving = ServingState()
        self._pacer = ReadPacer(call_soon=asyncio.get_running_loop().call_soon)
        self._caller_budget = BufferBudget(limit_bytes=find_budget_bytes(settings))
        self._view = FleetView(router=settings.node)
        self._pace = StorePace(
            view=self._view, settings=lambda: self._settings.store, clock=read_clock
        )
        self._cold_limiter = ColdStartLimiter(
            router=settings.node, burst=settings.bounds.cold_slack
        )
        rate_limiter = ServerRateLimiter(router=settings.node)
        metrics = Metrics()
        self._stats = GatewayStats(metrics=metrics)
        self._pool = ConnectionPool(
            loop=asyncio.get_running_loop(),
            connect_timeout_s=CONNECT_TIMEOUT_S,
            pacer=self._pacer,
        )
        self._cleanup = ServerCleanup(
            view=self._view, pool=self._pool, limiters=[self._cold_limiter, rate_limiter]
        )
        http = PooledHttpClient(pool=self._pool)
        store = open_store(http)
        self._sender = AttemptSender(pool=self._pool, wire=wire, clock=read_clock)
        self._retries = RetryBudgets(bounds=settings.bounds)
        self._picker = ServerPicker(
            view=self._view,
            cold_limiter=self._cold_limiter,
            rate_limiter=rate_limiter,
            data_centre=settings.data_centre,
            regions=settings.regions,
            load_factor=settings.bounds.load_factor,
        )
        self._admission = Admission(
            view=self._view,
            serving=self._serving,
            max_config_age_s=settings.bounds.config_delay_s,
        )
        forwarder = Forwarder(
            view=self._view,
            admission=self._admission,
            serving=self._serving,
            picker=self._picker,
            sender=self._sender,
            relay=ResponseRelay(
                wire=wire,
                rate_limits=self._view.rate_limits,
                servers=self._view.servers,
                pool=self._pool,
                stats=self._stats,
                clock=read_clock,
            ),
            retries=self._retries,
            wire=wire,
            stats=self._stats,
            crashes=CrashWatch(
                pool=self._pool, guard=self._view.guard, stats=self._stats, clock=read_clock
            ),
            clock=read_clock,
        )
        admin = AdminHandler(
            view=self._view, serving=self._serving, metrics=metrics, ready_path=ready_path
        )
        location = RouterLocation(
            f"{settings.ip}:{settings.first_internal_port}",
            settings.data_centre,
            settings.link_mbps,
        )
        self._store = RelayedStore(
            store=store,
            view=self._view,
            http=http,
            location=location,
            clock=read_clock,
            heartbeat_s=lambda: self._settings.heartbeat_s,
        )
        self._exchange = LoadExchange(
            view=self._view,
            address=location.address,
            clock=read_clock,
            channels=[
                RolloutChannel(rollouts=self._view.rollouts),
                QueueChannel(reports=forwarder.places.reports),
                WorkChannel(view=self._view),
            ],
        )
        self._rollouts = RolloutController(
            reader=self._store,
            store=store,
            view=self._view,
            stats=self._stats,
            clock=read_clock,
            exposure_share=lambda: self._settings.bounds.exposure_share,
            read_interval_s=lambda: self._pace.read_interval_s(
                min(ROLLOUTS_READ_INTERVAL_S, self._settings.bounds.rollback_s / 4)
            ),
        )
        relay = RelayHandler(logs=self._store.logs, view=self._view, clock=read_clock)
        self._caller_listener = self._make_listener(
            settings.caller_address, forwarder, CALLER_DESCRIPTOR_SHARE, sock=caller_socket
        )
        self._internal_listeners = [
            self._make_listener(settings.ready_address, admin, ADMIN_DESCRIPTOR_SHARE),
            self._make_listener(f"{settings.ip}:{metrics_port}", admin, ADMIN_DESCRIPTOR_SHARE),
            self._make_listener(location.address, relay, PEER_DESCRIPTOR_SHARE),
        ]
        self._announcer = Announcer(
            store=store,
            router=settings.node,
            location=location,
            history=self._view.history,
            interval_s=self._pace.announce_interval_s,
        )
        self._watcher = SettingsWatcher(
            path=settings_path, current=settings, load=load, apply=self._apply_settings
        )
        register_gauges(
            metrics,
            GaugeSources(
                view=self._view,
                serving=self._serving,
                store=self._store,
                pacer=self._pacer,
                callers=self._caller_listener,
                budget=self._caller_budget,
                exchange=self._exchange,
                places=forwarder.places,
            ),
            clock=read_clock,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads the settings."""
        loop = asyncio.get_running_loop()
        stop_requested = asyncio.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._watcher.reload, "SIGHUP")
        for listener in (*self._internal_listeners, self._caller_listener):
            await listener.start()
        settings = self._settings
        structlog.get_logger().info(
            "started", data_centre=settings.data_centre, callers=settings.caller_address
        )
        controllers = asyncio.create_task(
            supervise_controllers(
                self._make_controllers(), on_failure=self._stats.count_task_failure
            )
        )
        stopped = asyncio.create_task(stop_requested.wait())
        await asyncio.wait({controllers, stopped}, return_when=asyncio.FIRST_COMPLETED)
        shutdown = GracefulShutdown(
            serving=self._serving,
            grace_period_s=self._settings.bounds.drain_grace_s,
            callers=self._caller_listener,
        )
        cut_requests = await shutdown.run()
        failed = controllers.done()
        controllers.cancel()
        await self._announce_stop(max(MIN_ANNOUNCE_TIMEOUT_S, shutdown.time_left_s))
        structlog.get_logger().info(
            "stopped",
            cut_requests=cut_requests,
            refused=self._serving.refused,
            dropped=self._serving.dropped,
        )
        if failed:
            controllers.result()

    async def _announce_stop(self, timeout_s: float) -> None:
        # Without the announcement the others count this router until its last one expires.
        try:
            async with asyncio.timeout(timeout_s):
                await self._announcer.stop()
        except TimeoutError:
            structlog.get_logger().warning("stop not announced", timeout_s=round(timeout_s, 2))

    def _make_controllers(self) -> list[Controller]:
        stats, view = self._stats, self._view
        router_sink = RouterSink(view=view, clock=read_clock)
        return [
            self._make_reader(
                Topic.OPERATOR,
                OperatorSink(view=view, stats=stats, clock=read_clock),
                wait_s=OPERATOR_LONG_POLL_S,
                interval_s=lambda: 0.0,
            ),
            self._make_reader(
                Topic.SERVERS,
                ServerSink(view=view, stats=stats, clock=read_clock, on_ended=self._cleanup.remove),
                interval_s=self._pace.servers_interval_s,
            ),
            self._make_reader(
                Topic.ROUTERS,
                router_sink,
                interval_s=self._pace.routers_interval_s,
            ),
            QuarantinePublisher(store=self._store, view=view, sink=router_sink, clock=read_clock),
            self._rollouts,
            self._announcer,
            self._exchange,
            self._watcher,
            Ticker(
                name="watch-attempts",
                interval_s=STALL_CHECK_INTERVAL_S,
                action=self._sender.check_stalled_attempts,
                clock=read_clock,
                on_delay=LoopWatch(stats=stats).record,
            ),
            Ticker(
                name="remove-idle",
                interval_s=POOL_CHECK_INTERVAL_S,
                action=self._remove_idle,
                clock=read_clock,
            ),
        ]

    def _make_reader(
        self,
        topic: Topic,
        sink: NoticeSink,
        *,
        wait_s: float = 0.0,
        interval_s: Callable[[], float],
    ) -> TopicReader:
        contained = ContainedSink(topic=topic, sink=sink, stats=self._stats)
        return TopicReader(
            store=self._store,
            topic=topic,
            sink=ReportingSink(topic=topic, sink=contained, stats=self._stats),
            wait_s=wait_s,
            interval_s=interval_s,
        )

    def _make_listener(
        self,
        address: str,
        handler: RequestHandler,
        share: float,
        *,
        sock: socket.socket | None = None,
    ) -> CallerListener:
        return CallerListener(
            address=address,
            handler=handler,
            serving=self._serving if isinstance(handler, Forwarder) else ServingState(),
            limits=lambda: self._view.config.limits if self._view.config else DEFAULT_LIMITS,
            clock=read_clock,
            bounds=find_bounds(self._settings, share),
            sock=sock,
            pacer=self._pacer,
            budget=self._caller_budget,
            paced_status=200 if isinstance(handler, AdminHandler) else FIRST_REFUSAL_STATUS,
        )

    def _remove_idle(self) -> None:
        self._pool.close_idle(now=asyncio.get_running_loop().time())
        self._cleanup.remove_idle(now=read_clock())

    def _apply_settings(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._retries.bounds = settings.bounds
        self._picker.load_factor = settings.bounds.load_factor
        self._admission.max_config_age_s = settings.bounds.config_delay_s
        self._cold_limiter.burst = settings.bounds.cold_slack
