"""Forwarding of streamed responses from agents to callers."""

from __future__ import annotations

from cornellead.relay._stream_cutter import StreamCutter
from cornellead.relay._stream_relay import StreamRelay

__all__ = ["StreamCutter", "StreamRelay"]
