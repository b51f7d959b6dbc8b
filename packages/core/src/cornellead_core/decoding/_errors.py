"""Errors of decoding data of any content."""

from __future__ import annotations

UNREADABLE = (ValueError, OverflowError, RecursionError)
"""Errors of decoding data of any content: syntax, types and characters (those of `msgspec` and
`binascii` are `ValueError`), numbers of any size, and nested values, into which the decoder
recurses, also in fields that it skips."""
