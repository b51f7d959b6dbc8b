"""Tests of the fleet key.

They guard against accepting requests or control messages of processes outside the fleet.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornellead_core.auth import FleetKey

KEY = FleetKey(secret=b"0123456789abcdef")
OTHER_KEY = FleetKey(secret=b"fedcba9876543210")


@given(message=st.binary(max_size=200))
def test_signed_message_verifies_only_with_the_same_key(message: bytes) -> None:
    signed = KEY.sign_message(message)
    assert KEY.verify_message(signed) == message
    assert OTHER_KEY.verify_message(signed) is None


@given(message=st.binary(min_size=1, max_size=64), position=st.integers(0, 10_000))
def test_flipped_bit_in_a_signed_message_is_detected(message: bytes, position: int) -> None:
    signed = bytearray(KEY.sign_message(message))
    signed[position % len(signed)] ^= 1 << (position % 8)
    assert KEY.verify_message(bytes(signed)) is None


@pytest.mark.parametrize(
    ("method", "path", "request_id", "now_ms"),
    [
        ("GET", "/v1/x", "ab", 1_000),
        ("POST", "/v1/y", "ab", 1_000),
        ("POST", "/v1/x", "cd", 1_000),
        ("POST", "/v1/x", "ab", 61_001),
    ],
)
def test_token_is_valid_for_one_request_and_a_limited_time(
    method: str, path: str, request_id: str, now_ms: int
) -> None:
    token = KEY.sign_request(now_ms=1_000, method="POST", path="/v1/x", request_id="ab")
    assert KEY.verify_request(token, now_ms=1_000, method="POST", path="/v1/x", request_id="ab")
    assert not KEY.verify_request(
        token, now_ms=now_ms, method=method, path=path, request_id=request_id
    )


@pytest.mark.parametrize("token", ["", ".", "1000", "x.y", "1000.", "9" * 40 + ".00", "1.é"])
def test_malformed_tokens_are_rejected(token: str) -> None:
    assert not KEY.verify_request(token, now_ms=0, method="GET", path="/", request_id="a")


def test_short_secret_is_rejected() -> None:
    with pytest.raises(ValueError, match="at least 16"):
        FleetKey(secret=b"short")
