"""Clients of the platform's log service and host list."""

from __future__ import annotations

from cornellead_core.platform._host_list import HostEntry
from cornellead_core.platform._host_list import HostKind
from cornellead_core.platform._host_list import HostList
from cornellead_core.platform._host_list import HostState
from cornellead_core.platform._http_host_list import HttpHostList
from cornellead_core.platform._http_log_client import HttpLogClient
from cornellead_core.platform._log_client import AppendError
from cornellead_core.platform._log_client import LogClient
from cornellead_core.platform._log_client import LogPage
from cornellead_core.platform._log_client import LogRecord
from cornellead_core.platform._log_client import PlatformError

__all__ = [
    "AppendError",
    "HostEntry",
    "HostKind",
    "HostList",
    "HostState",
    "HttpHostList",
    "HttpLogClient",
    "LogClient",
    "LogPage",
    "LogRecord",
    "PlatformError",
]
