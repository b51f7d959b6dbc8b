"""Runs a router."""

from __future__ import annotations

import asyncio
import sys

from absl import flags
from returns.result import Failure

from cornellead.cli._exit_code import ExitCode
from cornellead.process import RouterProcess
from cornellead_core.logs import configure_logs
from cornellead_core.settings import RouterSettings
from cornellead_core.settings import load_router_settings

USAGE = "use cornellead serve --settings=FILE"


def run(argv: list[str]) -> int:
    """Serve until SIGTERM or SIGINT, then drain.

    :param argv: The verb and its flags.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string("settings", None, "File with the settings.", flag_values=values)
    try:
        values(argv)
    except flags.Error as exc:
        return _reject(f"{exc}; {USAGE}")
    if values.settings is None:
        return _reject(USAGE)
    loaded = load_router_settings(values.settings)
    if isinstance(loaded, Failure):
        return _reject("\n".join(str(error) for error in loaded.failure()))
    settings = loaded.unwrap()
    process = settings.process
    configure_logs(process=process.name, as_json=process.log_format == "json")
    asyncio.run(_serve(settings))
    return ExitCode.OK


async def _serve(settings: RouterSettings) -> None:
    await RouterProcess(settings=settings).run()


def _reject(message: str) -> int:
    print(message, file=sys.stderr)
    return ExitCode.USAGE
