"""Repeated sending of news to other routers over messages that may be lost. It does no I/O."""

from __future__ import annotations

from cornellead.gateway.gossip._send_queue import OWN_ROUNDS
from cornellead.gateway.gossip._send_queue import RELAY_ROUNDS
from cornellead.gateway.gossip._send_queue import SendQueue

__all__ = ["OWN_ROUNDS", "RELAY_ROUNDS", "SendQueue"]
