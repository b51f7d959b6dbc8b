"""Policies for placing, retrying and rejecting requests. They do no I/O."""

from __future__ import annotations

from cornellead.gateway.policy._chat_order import ChatOrder
from cornellead.gateway.policy._chat_order import PlacementContext
from cornellead.gateway.policy._cold_start_limiter import ColdStartLimiter
from cornellead.gateway.policy._expected_wait import expected_wait_s
from cornellead.gateway.policy._exposure_limiter import ExposureLimiter
from cornellead.gateway.policy._lapse_check import LapseCheck
from cornellead.gateway.policy._place_queue import HeldRequest
from cornellead.gateway.policy._place_queue import PlaceQueue
from cornellead.gateway.policy._place_share import MIN_BACKLOG
from cornellead.gateway.policy._place_share import ServerLoad
from cornellead.gateway.policy._place_share import count_places
from cornellead.gateway.policy._place_share import mostly_idle
from cornellead.gateway.policy._prompt_placement import PromptPlacement
from cornellead.gateway.policy._prompt_placement import PromptRequest
from cornellead.gateway.policy._prompt_source import find_prompt_source
from cornellead.gateway.policy._request_attempts import RequestAttempts
from cornellead.gateway.policy._request_attempts import RunState
from cornellead.gateway.policy._retry_after import expected_outage_s
from cornellead.gateway.policy._retry_after import request_jitter
from cornellead.gateway.policy._retry_after import retry_after_s
from cornellead.gateway.policy._retry_budgets import RetryBudgets
from cornellead.gateway.policy._rollout_plan import RolloutFacts
from cornellead.gateway.policy._rollout_plan import next_record
from cornellead.gateway.policy._server_order import exclude
from cornellead.gateway.policy._server_order import order_by_cost
from cornellead.gateway.policy._server_order import order_for_chat
from cornellead.gateway.policy._server_order import rank_homes
from cornellead.gateway.policy._server_order import split_service
from cornellead.gateway.policy._server_pause import MAX_PAUSE_S
from cornellead.gateway.policy._server_pause import return_at
from cornellead.gateway.policy._server_rate_limiter import ServerRateLimiter
from cornellead.gateway.policy._version_verdict import VersionCounts
from cornellead.gateway.policy._version_verdict import VersionJudge
from cornellead.gateway.policy._version_verdict import is_worse
from cornellead.gateway.policy._version_verdict import slow_limit_s
from cornellead.gateway.policy._work_weight import work_weights

__all__ = [
    "MAX_PAUSE_S",
    "MIN_BACKLOG",
    "ChatOrder",
    "ColdStartLimiter",
    "ExposureLimiter",
    "HeldRequest",
    "LapseCheck",
    "PlaceQueue",
    "PlacementContext",
    "PromptPlacement",
    "PromptRequest",
    "RequestAttempts",
    "RetryBudgets",
    "RolloutFacts",
    "RunState",
    "ServerLoad",
    "ServerRateLimiter",
    "VersionCounts",
    "VersionJudge",
    "count_places",
    "exclude",
    "expected_outage_s",
    "expected_wait_s",
    "find_prompt_source",
    "is_worse",
    "mostly_idle",
    "next_record",
    "order_by_cost",
    "order_for_chat",
    "rank_homes",
    "request_jitter",
    "retry_after_s",
    "return_at",
    "slow_limit_s",
    "split_service",
    "work_weights",
]
