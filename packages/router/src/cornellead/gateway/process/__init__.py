"""Gateway process: wiring, admin endpoints, settings reload and graceful shutdown."""

from __future__ import annotations

from cornellead.gateway.process._admin_handler import AdminHandler
from cornellead.gateway.process._boot_clock_loop import BootClockLoop
from cornellead.gateway.process._gateway_process import GatewayProcess
from cornellead.gateway.process._graceful_shutdown import GracefulShutdown

__all__ = ["AdminHandler", "BootClockLoop", "GatewayProcess", "GracefulShutdown"]
