"""HTTP server of the processes with an own interface."""

from __future__ import annotations

from cornellead_core.serving._paced_http_protocol import PacedHttpProtocol

__all__ = ["PacedHttpProtocol"]
