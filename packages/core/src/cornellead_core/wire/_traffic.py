"""Counters of control traffic."""

from __future__ import annotations

FRAME_BYTES = 12
"""Length prefix and request id that the transport adds to each message."""


class Traffic:
    """Bytes and messages of control traffic of one process."""

    def __init__(self) -> None:
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.messages_received = 0
        self.messages_rejected = 0

    def count_sent(self, message: bytes) -> None:
        """Count a message handed to the transport."""
        self.messages_sent += 1
        self.bytes_sent += len(message) + FRAME_BYTES

    def count_received(self, message: bytes) -> None:
        """Count a message received from the transport."""
        self.messages_received += 1
        self.bytes_received += len(message) + FRAME_BYTES

    @property
    def total_bytes(self) -> int:
        """Bytes sent and received."""
        return self.bytes_sent + self.bytes_received
