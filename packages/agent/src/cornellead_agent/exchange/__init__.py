"""Exchange of load between agents."""

from __future__ import annotations

from cornellead_agent.exchange._interval import round_interval_s
from cornellead_agent.exchange._load_exchanger import LoadExchanger

__all__ = ["LoadExchanger", "round_interval_s"]
