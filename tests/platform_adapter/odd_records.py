"""Records that another writer may leave among those of servers, operators and routers."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import strategies as st
from tests.platform_adapter import payloads

NESTED = b"[" * 100_000
LARGE_NUMBERS = (b"9" * 400, b"9" * 5000, b"1e400", b"-1", b"1.5", b"18446744073709551616", b"true")
"""JSON numbers that no field of a record allows, and a value of another type."""
ODD_ADDRESSES = (
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:" + "8" * 5000,
    "10.0.0.9:٨٠",
    "10.0.0.9:-80",
    "10.0.0.999:80",
    "somewhere:80",
    "10.0.0.9\r\nX-Tenant: other:80",
    ":80",
    "10.0.0.9:",
    "10.0.0.9",
)

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=-(10**400), max_value=10**400)
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(ODD_ADDRESSES),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=8), children, max_size=3),
    max_leaves=8,
)


def encode(value: Any) -> bytes:
    """Encode as JSON, with integers of any size and with floats that JSON does not have."""
    if isinstance(value, dict):
        items = (encode(str(key)) + b":" + encode(item) for key, item in value.items())
        return b"{" + b",".join(items) + b"}"
    if isinstance(value, list):
        return b"[" + b",".join(encode(item) for item in value) + b"]"
    if isinstance(value, int | float) and not isinstance(value, bool):
        return repr(value).encode()
    return msgspec.json.encode(value)


def replace_field(body: dict[str, Any], name: str, value: bytes) -> bytes:
    """Encode an object with one field replaced by bytes, which need not be valid JSON."""
    kept = msgspec.json.encode({key: item for key, item in body.items() if key != name})
    return kept[:-1] + b"," + msgspec.json.encode(name) + b":" + value + b"}"


def odd_entries() -> dict[str, bytes]:
    """Return entries that name no server to use, by key."""
    body = payloads.server_entry()
    entries = {
        f"{field}-{number}": replace_field(body, field, value)
        for field in ("slots", "cold_remaining_ms", "born")
        for number, value in enumerate((*LARGE_NUMBERS, b'"6"', b"null", NESTED))
        if (field, value) != ("cold_remaining_ms", b"1.5")
    }
    for number, address in enumerate(ODD_ADDRESSES):
        entries[f"address-{number}"] = msgspec.json.encode(payloads.server_entry(address))
    for field in ("service", "zone"):
        entries[f"{field}-long"] = msgspec.json.encode(body | {field: "x" * 100_000})
        entries[f"{field}-empty"] = msgspec.json.encode(body | {field: ""})
    entries["name\r\nX-Tenant: other"] = msgspec.json.encode(body)
    entries["nämé-€"] = msgspec.json.encode(body)
    entries["bytes"] = b"\xff\xfe{"
    entries["nested"] = NESTED
    return entries
