"""Reading of the current configuration, for verbs that do not change it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx

from cornellead.cli._config_history import ConfigHistory
from cornellead_core.platform import HttpLogClient

if TYPE_CHECKING:
    from returns.result import Result

    from cornellead_core.config import ConfigState
    from cornellead_core.platform import PlatformError


async def read_state(platform_url: str) -> Result[ConfigState, PlatformError]:
    """Read the configuration stream and return the state at its end."""
    async with httpx.AsyncClient() as client:
        return await ConfigHistory(log=HttpLogClient(client=client, url=platform_url)).refresh()
