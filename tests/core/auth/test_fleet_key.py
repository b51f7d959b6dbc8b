"""Guards against accepting requests or control messages of processes outside the fleet."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornellead_core.auth import FleetKey

KEY = FleetKey(secret=b"0123456789abcdef")
OTHER = FleetKey(secret=b"fedcba9876543210")


@given(message=st.binary(max_size=200))
def test_sealed_message_opens_with_the_same_key_only(message: bytes) -> None:
    sealed = KEY.seal(message)
    assert KEY.open(sealed) == message
    assert OTHER.open(sealed) is None


@given(message=st.binary(min_size=1, max_size=64), position=st.integers(0, 10_000))
def test_a_flipped_bit_is_detected(message: bytes, position: int) -> None:
    sealed = bytearray(KEY.seal(message))
    sealed[position % len(sealed)] ^= 1 << (position % 8)
    assert KEY.open(bytes(sealed)) is None


@pytest.mark.parametrize(
    ("method", "path", "request_id", "now_ms"),
    [
        ("GET", "/v1/x", "ab", 1_000),
        ("POST", "/v1/y", "ab", 1_000),
        ("POST", "/v1/x", "cd", 1_000),
        ("POST", "/v1/x", "ab", 61_001),
    ],
)
def test_a_token_holds_for_one_request_and_a_limited_time(
    method: str, path: str, request_id: str, now_ms: int
) -> None:
    token = KEY.sign_request(now_ms=1_000, method="POST", path="/v1/x", request_id="ab")
    assert KEY.verify_request(token, now_ms=1_000, method="POST", path="/v1/x", request_id="ab")
    assert not KEY.verify_request(
        token, now_ms=now_ms, method=method, path=path, request_id=request_id
    )


@pytest.mark.parametrize("token", ["", ".", "1000", "x.y", "1000.", "9" * 40 + ".00", "1.é"])
def test_malformed_tokens_are_refused(token: str) -> None:
    assert not KEY.verify_request(token, now_ms=0, method="GET", path="/", request_id="a")


def test_a_short_key_is_refused_at_start() -> None:
    with pytest.raises(ValueError, match="at least 16"):
        FleetKey(secret=b"short")
