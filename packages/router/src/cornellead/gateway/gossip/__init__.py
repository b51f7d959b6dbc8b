"""Repeated sending of news to other routers over messages that may be lost. It does no I/O."""

from __future__ import annotations

from cornellead.gateway.gossip._ranges import MAX_COUNT
from cornellead.gateway.gossip._ranges import MAX_HEARD_ROUTERS
from cornellead.gateway.gossip._ranges import MAX_ROUTERS
from cornellead.gateway.gossip._ranges import Age
from cornellead.gateway.gossip._ranges import Count
from cornellead.gateway.gossip._ranges import Rate
from cornellead.gateway.gossip._ranges import RouterName
from cornellead.gateway.gossip._send_queue import OWN_ROUNDS
from cornellead.gateway.gossip._send_queue import RELAY_ROUNDS
from cornellead.gateway.gossip._send_queue import SendQueue

__all__ = [
    "MAX_COUNT",
    "MAX_HEARD_ROUTERS",
    "MAX_ROUTERS",
    "OWN_ROUNDS",
    "RELAY_ROUNDS",
    "Age",
    "Count",
    "Rate",
    "RouterName",
    "SendQueue",
]
