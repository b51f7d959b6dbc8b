"""Bounds on callers, derived from what a host has."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.buffers import MAX_BUFFERED_BYTES
from cornellead_core.connections import ConnectionBounds
from cornellead_core.connections import make_bounds
from cornellead_core.pacing import UNREAD_TIMEOUT_S

if TYPE_CHECKING:
    from cornellead_core.routing import NodeSettings

CALLER_DESCRIPTOR_SHARE = 0.6
"""Fraction of the file descriptors for callers. With the shares of the other listeners, a fifth is
left for servers and the store."""
PEER_DESCRIPTOR_SHARE = 0.1
"""Fraction for other routers, which read through this one if the store is slow."""
ADMIN_DESCRIPTOR_SHARE = 0.05
"""Fraction for each of the readiness and metrics endpoints, which have a few clients."""
CALLER_MEMORY_SHARE = 0.25
"""Fraction of the memory of a host that is held for callers. A calm process uses 40 to 60 MB, and
responses that arrive 32 MB, of the 152 MB of the smallest hosts."""
BYTES_PER_MB = 1 << 20


def find_budget_bytes(settings: NodeSettings) -> int:
    """Return how much may be held for callers."""
    if settings.callers.budget_bytes:
        return settings.callers.budget_bytes
    if not settings.memory_mb:
        return MAX_BUFFERED_BYTES
    return int(CALLER_MEMORY_SHARE * settings.memory_mb * BYTES_PER_MB)


def find_bounds(settings: NodeSettings, share: float) -> ConnectionBounds:
    """Return the bounds of a listener.

    :param share: Fraction of the descriptors; settings replace that of callers only.
    """
    total, per_address = int(share * settings.max_descriptors), 0
    if share == CALLER_DESCRIPTOR_SHARE:
        per_address = settings.callers.connections_per_address
        # A setting above what the descriptors allow would leave none for servers.
        total = min(total, settings.callers.connections or total)
    return make_bounds(
        total,
        per_address=per_address,
        unread_timeout_s=settings.callers.unread_timeout_s or UNREAD_TIMEOUT_S,
    )
