"""Exchange of load reports between routers over UDP."""

from __future__ import annotations

from cornellead.gateway.exchange._load_exchange import LoadExchange

__all__ = ["LoadExchange"]
