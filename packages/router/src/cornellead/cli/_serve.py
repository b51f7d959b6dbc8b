"""``cornellead serve``: run a router."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from absl import flags
from returns.result import Failure

from cornellead.cli._exit_code import ExitCode

if TYPE_CHECKING:
    from cornellead_core.settings import RouterSettings

USAGE = "use cornellead serve --settings=FILE"


def run(argv: list[str]) -> int:
    """Serve until SIGTERM or SIGINT, then drain.

    :param argv: The verb and its flags.
    :returns: Exit code.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string("settings", None, "File with the settings.", flag_values=values)
    try:
        values(argv)
    except flags.Error as exc:
        return _print_usage_error(f"{exc}; {USAGE}")
    if values.settings is None:
        return _print_usage_error(USAGE)
    _block_rich_import()
    from cornellead_core.settings import load_router_settings

    loaded = load_router_settings(values.settings)
    if isinstance(loaded, Failure):
        return _print_usage_error("\n".join(str(error) for error in loaded.failure()))
    settings = loaded.unwrap()
    from cornellead_core.logs import configure_logs

    process = settings.process
    configure_logs(process=process.name, as_json=process.log_format == "json")
    asyncio.run(_serve(settings))
    return ExitCode.OK


def _block_rich_import() -> None:
    """Prevent `structlog` and `httpx` from importing `rich`, which takes 3 MB.

    The memory limit of a router is 64 MB.
    """
    sys.modules["rich"] = None  # type: ignore[assignment]


async def _serve(settings: RouterSettings) -> None:
    from cornellead.process import RouterProcess

    await RouterProcess(settings=settings).run()


def _print_usage_error(message: str) -> int:
    print(message, file=sys.stderr)
    return ExitCode.USAGE
