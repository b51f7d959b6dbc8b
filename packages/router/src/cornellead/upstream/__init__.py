"""HTTP/1.1 client for agents: pooled connections with push parsing and back-pressure."""

from __future__ import annotations

from cornellead.upstream._agent_pool import AgentPool
from cornellead.upstream._agent_pool import ConnectError
from cornellead.upstream._exchange import Exchange
from cornellead.upstream._exchange import ResponseHead

__all__ = ["AgentPool", "ConnectError", "Exchange", "ResponseHead"]
