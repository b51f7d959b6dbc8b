"""Exchange of load reports between routers over UDP."""

from __future__ import annotations

from cornellead.gateway.exchange._load_exchange import LoadExchange
from cornellead.gateway.exchange._queue_channel import QueueChannel
from cornellead.gateway.exchange._report_channel import ReportChannel
from cornellead.gateway.exchange._rollout_channel import RolloutChannel
from cornellead.gateway.exchange._work_channel import WorkChannel

__all__ = ["LoadExchange", "QueueChannel", "ReportChannel", "RolloutChannel", "WorkChannel"]
