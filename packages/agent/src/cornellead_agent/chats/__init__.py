"""Where the caches of chats are."""

from __future__ import annotations

from cornellead_agent.chats._chat_index import ChatIndex

__all__ = ["ChatIndex"]
