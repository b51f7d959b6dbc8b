"""The shared key that proves that a peer belongs to the fleet."""

from __future__ import annotations

import hashlib
import hmac

MAC_BYTES = 16
"""Length of the MAC on control messages; 128 bits keep a report small and stay unforgeable."""

MAX_SKEW_MS = 60_000
"""Accepted difference between the clocks of two hosts."""


class FleetKey:
    """Signs and verifies requests and control messages.

    >>> key = FleetKey(secret=b"0123456789abcdef")
    >>> token = key.sign_request(now_ms=1_000, method="POST", path="/v1/x", request_id="ab")
    >>> key.verify_request(token, now_ms=2_000, method="POST", path="/v1/x", request_id="ab")
    True
    >>> key.verify_request(token, now_ms=90_000, method="POST", path="/v1/x", request_id="ab")
    False
    """

    def __init__(self, *, secret: bytes) -> None:
        if len(secret) < MAC_BYTES:
            raise ValueError(f"fleet key has {len(secret)} bytes; use at least {MAC_BYTES}")
        self._secret = secret

    def sign_request(self, *, now_ms: int, method: str, path: str, request_id: str) -> str:
        """Make the value of the ``x-cl-auth`` header.

        :param now_ms: Unix time in milliseconds.
        """
        return f"{now_ms}.{self._digest(now_ms, method, path, request_id)}"

    def verify_request(
        self, token: str, *, now_ms: int, method: str, path: str, request_id: str
    ) -> bool:
        """Check the value of an ``x-cl-auth`` header."""
        stamp, _, digest = token.partition(".")
        if not stamp.isascii() or not stamp.isdigit() or len(stamp) > 15:
            return False
        sent_ms = int(stamp)
        if abs(now_ms - sent_ms) > MAX_SKEW_MS:
            return False
        expected = self._digest(sent_ms, method, path, request_id)
        return hmac.compare_digest(digest.encode(), expected.encode())

    def seal(self, message: bytes) -> bytes:
        """Append the MAC to a control message."""
        return message + self._mac(message)

    def open(self, sealed: bytes) -> bytes | None:
        """Return the message without its MAC, or ``None`` if the MAC is wrong."""
        message, mac = sealed[:-MAC_BYTES], sealed[-MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(message)):
            return None
        return message

    def _mac(self, message: bytes) -> bytes:
        return hmac.digest(self._secret, message, hashlib.sha256)[:MAC_BYTES]

    def _digest(self, now_ms: int, method: str, path: str, request_id: str) -> str:
        text = f"{now_ms}\n{method}\n{path}\n{request_id}".encode()
        return hmac.digest(self._secret, text, hashlib.sha256).hex()
