"""Periodic exchange of load reports and summaries between agents."""

from __future__ import annotations

from cornellead_agent.exchange._interval import round_interval_s
from cornellead_agent.exchange._load_exchanger import LoadExchanger
from cornellead_agent.exchange._load_node import LoadNode
from cornellead_agent.exchange._round_plan import Member
from cornellead_agent.exchange._round_plan import RoundPlan
from cornellead_agent.exchange._round_plan import plan_round

__all__ = [
    "LoadExchanger",
    "LoadNode",
    "Member",
    "RoundPlan",
    "plan_round",
    "round_interval_s",
]
