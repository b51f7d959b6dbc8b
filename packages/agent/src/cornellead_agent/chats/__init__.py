"""Index of the chats whose prompt cache is on this server, with hints for other chats."""

from __future__ import annotations

from cornellead_agent.chats._chat_index import ChatIndex

__all__ = ["ChatIndex"]
