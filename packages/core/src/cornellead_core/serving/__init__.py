"""Protocol of the HTTP servers of router and agent."""

from __future__ import annotations

from cornellead_core.serving._paced_http_protocol import PacedHttpProtocol

__all__ = ["PacedHttpProtocol"]
