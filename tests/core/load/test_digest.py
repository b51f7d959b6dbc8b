"""Decoding of the load header, which any sender may write."""

from __future__ import annotations

import base64

import pytest
from returns.result import Failure

from cornellead_core.load import decode_digest

NESTED = base64.b64encode(b"\x94\x90\xc0" + b"\x91" * 100_000 + b"\xc0\xc0").decode()


@pytest.mark.parametrize("value", ["\xe9\xe9\xe9\xe9", "a", "AAAA", NESTED])
def test_unreadable_load_header_fails_no_request(value: str) -> None:
    """Guards against requests and connections that end with an error over a header of load."""
    assert isinstance(decode_digest(value), Failure)
