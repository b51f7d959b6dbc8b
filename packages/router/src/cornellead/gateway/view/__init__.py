"""A router's in-memory view of servers, configuration and other routers. It does no I/O."""

from __future__ import annotations

from cornellead.gateway.view._fleet_load import FleetLoad
from cornellead.gateway.view._fleet_load import RouterLoad
from cornellead.gateway.view._fleet_view import FleetView
from cornellead.gateway.view._prefill_rates import PrefillRates
from cornellead.gateway.view._prompt_directory import PromptDirectory
from cornellead.gateway.view._prompt_work import PrefillSample
from cornellead.gateway.view._prompt_work import PromptLoad
from cornellead.gateway.view._prompt_work import PromptWork
from cornellead.gateway.view._queue_reports import QueueReport
from cornellead.gateway.view._queue_reports import QueueReports
from cornellead.gateway.view._rate_limits import RateLimitReport
from cornellead.gateway.view._rate_limits import RateLimits
from cornellead.gateway.view._rollout import Rollout
from cornellead.gateway.view._rollouts import RolloutReport
from cornellead.gateway.view._rollouts import Rollouts
from cornellead.gateway.view._server_health import SILENCE_TIMEOUT_S
from cornellead.gateway.view._server_health import ServerHealth
from cornellead.gateway.view._server_rate_limit import ServerRateLimit
from cornellead.gateway.view._server_registry import ServerRegistry
from cornellead.gateway.view._server_state import REPORTED_LOAD_FRESH_S
from cornellead.gateway.view._server_state import REPORTED_LOAD_MAX_AGE_S
from cornellead.gateway.view._server_state import ServerState
from cornellead.gateway.view._store_history import MAX_BEHIND_S
from cornellead.gateway.view._store_history import SETTLE_S
from cornellead.gateway.view._store_history import StoreHistory

__all__ = [
    "MAX_BEHIND_S",
    "REPORTED_LOAD_FRESH_S",
    "REPORTED_LOAD_MAX_AGE_S",
    "SETTLE_S",
    "SILENCE_TIMEOUT_S",
    "FleetLoad",
    "FleetView",
    "PrefillRates",
    "PrefillSample",
    "PromptDirectory",
    "PromptLoad",
    "PromptWork",
    "QueueReport",
    "QueueReports",
    "RateLimitReport",
    "RateLimits",
    "Rollout",
    "RolloutReport",
    "Rollouts",
    "RouterLoad",
    "ServerHealth",
    "ServerRateLimit",
    "ServerRegistry",
    "ServerState",
    "StoreHistory",
]
