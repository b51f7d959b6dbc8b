"""Stand-in for the platform: log service, host list and weight store."""

from __future__ import annotations

from cornellead_standins.platform._app import build_app
from cornellead_standins.platform._host_registry import HostRegistry
from cornellead_standins.platform._log_store import LogStore
from cornellead_standins.platform._settings import PlatformFaults
from cornellead_standins.platform._settings import PlatformSettings
from cornellead_standins.platform._token_bucket import TokenBucket

__all__ = [
    "HostRegistry",
    "LogStore",
    "PlatformFaults",
    "PlatformSettings",
    "TokenBucket",
    "build_app",
]
