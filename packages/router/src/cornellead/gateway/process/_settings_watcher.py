"""Reloads the settings file."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

import structlog
from returns.result import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from cornellead_core.routing import NodeSettings

CHECK_INTERVAL_S = 1.0
"""Interval at which the file is checked, since it may change without a signal."""
FILE_CHANGED = "file changed"


class SettingsWatcher:
    """Takes a changed settings file, or keeps the old one in force if it is wrong.

    :param current: Settings in force.
    :param load: Reads and checks the file.
    :param apply: Puts settings into force.
    """

    name = "watch-settings"

    def __init__(
        self,
        *,
        path: str,
        current: NodeSettings,
        load: Callable[[str], Result[NodeSettings, str]],
        apply: Callable[[NodeSettings], None],
    ) -> None:
        self._path = path
        self._load = load
        self._apply = apply
        self._current = current
        # The first check reads the file again: it may have changed since it was read at the start.
        self._seen = (0, 0)

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            stamp = self._stamp()
            if stamp != self._seen:
                self._seen = stamp
                self.reload(FILE_CHANGED)

    def reload(self, cause: str) -> None:
        """Read the file again."""
        log = structlog.get_logger()
        loaded = self._load(self._path)
        if isinstance(loaded, Failure):
            log.error("settings rejected, the old ones stay", cause=cause, error=loaded.failure())
            return
        settings = loaded.unwrap()
        changed = settings != self._current
        if changed:
            self._current = settings
            self._apply(settings)
        if changed or cause != FILE_CHANGED:
            log.info("settings reloaded", cause=cause, changed=changed)

    def _stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size
