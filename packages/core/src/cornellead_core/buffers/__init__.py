"""Bounds on the bytes that a process holds for the responses it is receiving."""

from __future__ import annotations

from cornellead_core.buffers._buffer_budget import MAX_BUFFERED_BYTES
from cornellead_core.buffers._buffer_budget import BufferBudget
from cornellead_core.buffers._buffer_budget import BufferHolder

__all__ = ["MAX_BUFFERED_BYTES", "BufferBudget", "BufferHolder"]
