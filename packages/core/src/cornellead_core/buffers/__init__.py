"""Bounds on the bytes that a process holds for its peers."""

from __future__ import annotations

from cornellead_core.buffers._buffer_budget import MAX_BUFFERED_BYTES
from cornellead_core.buffers._buffer_budget import MIN_RECORDED_BYTES
from cornellead_core.buffers._buffer_budget import UNKNOWN_OWNER
from cornellead_core.buffers._buffer_budget import BufferBudget
from cornellead_core.buffers._buffer_budget import BufferHolder
from cornellead_core.buffers._buffer_budget import BufferOwner
from cornellead_core.buffers._held_bytes import FIELD_OVERHEAD_BYTES
from cornellead_core.buffers._held_bytes import HeldBytes

__all__ = [
    "FIELD_OVERHEAD_BYTES",
    "MAX_BUFFERED_BYTES",
    "MIN_RECORDED_BYTES",
    "UNKNOWN_OWNER",
    "BufferBudget",
    "BufferHolder",
    "BufferOwner",
    "HeldBytes",
]
