"""Reload of the settings file."""

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
"""Interval at which the file is checked for a change, which may come without a SIGHUP."""
FILE_CHANGED = "file changed"


class SettingsWatcher:
    """Applies a changed settings file; if the file is invalid, the current settings stay in force.

    :param current: Settings in force.
    :param load: Reads and validates the file.
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
        # Makes the first check reload the file, as it may have changed since startup read it.
        self._last_stamp = (0, 0)

    async def run(self) -> None:
        """Check the file for changes until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            stamp = self._read_stamp()
            if stamp != self._last_stamp:
                self._last_stamp = stamp
                self.reload(FILE_CHANGED)

    def reload(self, cause: str) -> None:
        """Load the file, and apply it if it is valid and differs.

        :param cause: What triggered the reload, for the log.
        """
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

    def _read_stamp(self) -> tuple[int, int]:
        try:
            file_status = os.stat(self._path)
        except OSError:
            return 0, 0
        return file_status.st_mtime_ns, file_status.st_size
