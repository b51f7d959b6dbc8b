"""Placement of chats and keys on servers by rendezvous hashing."""

from __future__ import annotations

from cornellead_core.placement._chat_key import ChatKey
from cornellead_core.placement._chat_key import derive_chat_key
from cornellead_core.placement._rendezvous import WeightedNode
from cornellead_core.placement._rendezvous import order_by_rendezvous
from cornellead_core.placement._rendezvous import rank_members

__all__ = ["ChatKey", "WeightedNode", "derive_chat_key", "order_by_rendezvous", "rank_members"]
