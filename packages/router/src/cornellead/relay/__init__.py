"""Forwarding of streamed responses from agents to callers."""

from __future__ import annotations

from cornellead.relay._event_stream_filter import EventStreamFilter
from cornellead.relay._stream_relay import StreamRelay

__all__ = ["EventStreamFilter", "StreamRelay"]
