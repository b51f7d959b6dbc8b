"""Assembly and life cycle of a router process."""

from __future__ import annotations

from cornellead.process._router_process import RouterProcess

__all__ = ["RouterProcess"]
