"""Entry point ``cornellead-agent``."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from absl import flags
from returns.result import Success

from cornellead_agent.process import Agent
from cornellead_core.logs import configure_logs
from cornellead_core.settings import load_agent_settings

if TYPE_CHECKING:
    from cornellead_core.settings import AgentSettings

USAGE_ERROR_STATUS = 2


def main(argv: list[str] | None = None) -> int:
    """Run an agent until SIGTERM or SIGINT.

    :param argv: Program name and flags; `sys.argv` by default.
    :returns: Exit status; 2 for wrong flags or invalid settings.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string("settings", None, "File with the settings.", flag_values=values)
    try:
        values(sys.argv if argv is None else argv)
    except flags.Error as exc:
        return _report_error(f"{exc}; use cornellead-agent --settings=FILE")
    if values.settings is None:
        return _report_error("use cornellead-agent --settings=FILE")
    loaded = load_agent_settings(values.settings)
    if not isinstance(loaded, Success):
        return _report_error("\n".join(str(error) for error in loaded.failure()))
    settings = loaded.unwrap()
    configure_logs(process=settings.process.name, as_json=settings.process.log_format == "json")
    return asyncio.run(_run(settings))


async def _run(settings: AgentSettings) -> int:
    return await Agent(settings=settings).run()


def _report_error(message: str) -> int:
    print(message, file=sys.stderr)
    return USAGE_ERROR_STATUS
