"""Fleet members and peers, derived from the platform's host list."""

from __future__ import annotations

from cornellead_core.membership._peers import Peers

__all__ = ["Peers"]
