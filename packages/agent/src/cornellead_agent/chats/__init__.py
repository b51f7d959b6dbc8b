"""Index of the chats whose cache is on this server."""

from __future__ import annotations

from cornellead_agent.chats._chat_index import ChatIndex

__all__ = ["ChatIndex"]
