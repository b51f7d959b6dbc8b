"""``cornellead gateway``: run a gateway on a host of the platform."""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import TYPE_CHECKING

from returns.result import Failure

from cornellead.cli._exit_code import ExitCode
from cornellead.cli._verb_flags import VerbFlags

if TYPE_CHECKING:
    import socket

    from cornellead_core.routing import NodeSettings

DEFAULT_METRICS_PORT = 9464


def run(argv: list[str]) -> int:
    """Serve until SIGTERM or SIGINT, then drain.

    Modules are imported late and in a fixed order, so that the socket for callers is open early
    and the process stays small.

    :param argv: The verb and its flags.
    :returns: Exit code.
    """
    verb = VerbFlags(
        "gateway",
        usage="[flags]",
        summary="Routes requests of callers to the servers that the platform's store lists.",
        examples=["gateway", "gateway --settings=boot.json --metrics_port=9464"],
        notes="The settings file is the platform's; its path usually comes from the environment.",
    )
    verb.add_string("settings", None, "file with the host's settings")
    verb.add_integer("metrics_port", DEFAULT_METRICS_PORT, "port for metrics")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    # SIGHUP requests a reload of the settings. Its default action would end the process if the
    # signal arrives before the reload handler is installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Prevents structlog from importing rich, which takes 3 MB of memory.
    sys.modules["rich"] = None  # type: ignore[assignment]
    from cornellead_platform import NODE_FILE_VARIABLE
    from cornellead_platform import load_node_settings

    path = values.settings or os.environ.get(NODE_FILE_VARIABLE)
    if path is None:
        return verb.usage_error(f"give --settings=FILE or set {NODE_FILE_VARIABLE}")
    loaded = load_node_settings(path)
    if isinstance(loaded, Failure):
        return _print_usage_error(loaded.failure())
    settings = loaded.unwrap()
    if not settings.caller_address or not settings.ready_address:
        return _print_usage_error(
            f"{path}: listen: a gateway needs addresses for callers and for readiness"
        )
    # The socket is opened before asyncio and the other modules are imported: callers that connect
    # in the meantime wait for a moment. Without a listening socket their connections would be
    # reset, and they retry only once.
    from cornellead.gateway import open_listening_socket

    try:
        caller_socket = open_listening_socket(settings.caller_address)
    except OSError as exc:
        return _print_usage_error(f"{path}: cannot listen on {settings.caller_address}: {exc}")
    # Collections during the imports take a tenth of the time to start and free nothing.
    gc.disable()
    import asyncio

    from cornellead_core.logs import configure_service_logs

    configure_service_logs(process=settings.node)
    from cornellead.gateway.process import BootClockLoop

    gc.freeze()
    gc.enable()
    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        runner.run(_serve(settings, path, values.metrics_port, caller_socket))
    return ExitCode.OK


async def _serve(
    settings: NodeSettings, path: str, metrics_port: int, caller_socket: socket.socket
) -> None:
    from cornellead.gateway.process import GatewayProcess
    from cornellead_platform import READY_PATH
    from cornellead_platform import PlatformHeaders
    from cornellead_platform import StoreClient
    from cornellead_platform import load_node_settings

    process = GatewayProcess(
        settings=settings,
        settings_path=path,
        load=load_node_settings,
        open_store=lambda http: StoreClient(address=settings.store.address, http=http),
        wire=PlatformHeaders(),
        ready_path=READY_PATH,
        metrics_port=metrics_port,
        caller_socket=caller_socket,
    )
    await process.run()


def _print_usage_error(message: str) -> int:
    print(message, file=sys.stderr)
    return ExitCode.USAGE
