"""Shared key with which processes of a fleet authenticate to each other."""

from __future__ import annotations

import hashlib
import hmac

MAC_BYTES = 16
"""Length of the MAC of control messages; 128 bits are unforgeable and keep load reports small."""

MAX_CLOCK_SKEW_MS = 60_000
"""Maximum difference between the clocks of two hosts; also the lifetime of a request's MAC."""


class FleetKey:
    """Signs and verifies HTTP requests and control messages with HMAC-SHA-256.

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
        """Return the value of the ``x-cl-auth`` header, ``<time>.<MAC>``.

        :param now_ms: Unix time in milliseconds.
        """
        return f"{now_ms}.{self._request_mac(now_ms, method, path, request_id)}"

    def verify_request(
        self, token: str, *, now_ms: int, method: str, path: str, request_id: str
    ) -> bool:
        """Return whether an ``x-cl-auth`` header is authentic and within the clock skew."""
        timestamp, _, received_mac = token.partition(".")
        if not timestamp.isascii() or not timestamp.isdigit() or len(timestamp) > 15:
            return False
        sent_ms = int(timestamp)
        if abs(now_ms - sent_ms) > MAX_CLOCK_SKEW_MS:
            return False
        expected_mac = self._request_mac(sent_ms, method, path, request_id)
        return hmac.compare_digest(received_mac.encode(), expected_mac.encode())

    def sign_message(self, message: bytes) -> bytes:
        """Return a control message with its MAC appended."""
        return message + self._mac(message)

    def verify_message(self, signed: bytes) -> bytes | None:
        """Return the message without its MAC, or ``None`` if the MAC is wrong."""
        message, mac = signed[:-MAC_BYTES], signed[-MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(message)):
            return None
        return message

    def _mac(self, message: bytes) -> bytes:
        return hmac.digest(self._secret, message, hashlib.sha256)[:MAC_BYTES]

    def _request_mac(self, now_ms: int, method: str, path: str, request_id: str) -> str:
        text = f"{now_ms}\n{method}\n{path}\n{request_id}".encode()
        return hmac.digest(self._secret, text, hashlib.sha256).hex()
