"""Records of any content, of any topic."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from tests.platform_adapter import payloads
from tests.platform_adapter.odd_records import LARGE_NUMBERS
from tests.platform_adapter.odd_records import NESTED
from tests.platform_adapter.odd_records import ODD_ADDRESSES
from tests.platform_adapter.odd_records import encode
from tests.platform_adapter.odd_records import json_values
from tests.platform_adapter.odd_records import odd_entries
from tests.platform_adapter.odd_records import replace_field

from cornellead.gateway.relay import RelayPage
from cornellead.gateway.relay import decode_page
from cornellead.gateway.relay import encode_page
from cornellead.gateway.view import ServerRegistry
from cornellead_core.routing import RouterNotice
from cornellead_core.routing import RoutingConfig
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import Topic
from cornellead_platform._records import KeyedRecord
from cornellead_platform._records import decode_record
from cornellead_platform._records import decode_records

KEYS = ("config", "evacuate/kgl-a", "part/48720f", "rollout/llm", "s1", "")
BODIES: tuple[dict[str, Any], ...] = (
    payloads.server_entry(),
    payloads.operator_config(),
    {"service": "llm", "to": "v2", "duration_s": 60},
)


def _use(topic: Topic, record: KeyedRecord) -> None:
    """Decode a record, and do with the notice what a router does."""
    notice = decode_record(topic, record).notice
    if notice is None:
        return
    page = RelayPage([notice], 9, False, 0.5)
    relayed = notice
    if isinstance(notice, ServerNotice) and notice.entry is not None:
        # The count is not relayed: routers of earlier builds reject entries with more fields.
        relayed = notice._replace(entry=notice.entry._replace(sequence=0))
    assert decode_page(encode_page(page)) is not None
    assert decode_page(encode_page(page, versions=True)) == page._replace(notices=[relayed])
    if isinstance(notice, ServerNotice) and notice.entry is not None:
        ServerRegistry().put(notice.entry, now=1.0)
    if isinstance(notice, RoutingNotice) and notice.data is not None:
        RoutingConfig(data=notice.data)


@given(st.sampled_from(Topic), st.sampled_from(KEYS) | st.text(max_size=20), st.binary())
@example(Topic.ROUTERS, "r1", NESTED)
@example(Topic.ROUTERS, "part/48720f", NESTED)
@example(Topic.ROUTERS, "part/48720f", b"[1,3," + b"9" * 400 + b"]")
@example(Topic.ROUTERS, "r1", b'["10.0.0.1:7340","kgl-a",' + b"9" * 5000 + b"]")
@example(Topic.SERVERS, "s1", replace_field(BODIES[0], "slots", b"9" * 400))
@example(Topic.SERVERS, "s1", replace_field(BODIES[0], "slots", b"%d" % 2**70))
@example(Topic.OPERATOR, "config", replace_field(BODIES[1], "version", b"9" * 400))
@example(Topic.OPERATOR, "config", replace_field(BODIES[1], "version", b"%d" % 2**70))
def test_record_of_any_bytes_ends_no_reader(topic: Topic, key: str, value: bytes) -> None:
    """Guards against a process that one record ends, or that cannot relay it."""
    _use(topic, KeyedRecord(key, value))


@given(
    st.sampled_from(Topic),
    st.sampled_from(KEYS),
    st.sampled_from(BODIES),
    st.dictionaries(
        st.sampled_from(sorted({*BODIES[0], *BODIES[1]})), json_values, min_size=1, max_size=3
    ),
)
@example(Topic.SERVERS, "s1", BODIES[0], {"slots": 3})
def test_record_with_fields_of_any_value_ends_no_reader(
    topic: Topic, key: str, body: dict[str, Any], changes: dict[str, Any]
) -> None:
    """Guards against a value of an otherwise sound record that ends a process."""
    _use(topic, KeyedRecord(key, encode(body | changes)))


@given(st.binary())
def test_response_of_any_bytes_is_split_into_records(data: bytes) -> None:
    """Guards against a response of the store that ends its reader."""
    for record in decode_records(data):
        _use(Topic.SERVERS, record)


def test_implausible_entries_name_no_server() -> None:
    """Guards against requests to a server that another writer named."""
    used = {}
    for key, value in odd_entries().items():
        decoded = decode_record(Topic.SERVERS, KeyedRecord(key, value))
        assert isinstance(decoded.notice, ServerNotice) and not decoded.notice.removed
        if decoded.notice.entry is not None or decoded.unreadable is None:
            used[key] = decoded.notice.entry
    assert used == {}


@pytest.mark.parametrize("slots", [0, 1, 6, 64.0, 4096])
def test_plausible_entries_name_a_server(slots: float) -> None:
    """Guards against sound servers that get no requests."""
    entry = payloads.server_entry(slots=slots, cold_remaining_ms=2500.5, born=0)
    decoded = decode_record(Topic.SERVERS, KeyedRecord("i-1", msgspec.json.encode(entry)))
    assert isinstance(decoded.notice, ServerNotice) and decoded.notice.entry is not None
    assert decoded.notice.entry.slots == slots and decoded.unreadable is None


def test_announcements_that_cannot_be_dialled_are_not_used() -> None:
    """Guards against load reports to an address that ends the task that sends them."""
    used = []
    for address in ODD_ADDRESSES:
        value = msgspec.json.encode([address, "kgl-a", 100.0])
        decoded = decode_record(Topic.ROUTERS, KeyedRecord("r1", value))
        if decoded.notice is not None or decoded.unreadable is None:
            used.append(address)
    assert used == []
    sound = decode_record(Topic.ROUTERS, KeyedRecord("r1", b'["10.0.0.1:7340","kgl-a",100]'))
    assert isinstance(sound.notice, RouterNotice) and sound.unreadable is None


@pytest.mark.parametrize("position", [0, 1, 2])
def test_implausible_quarantines_are_not_used(position: int) -> None:
    """Guards against a quarantine whose numbers end the reader or never end."""
    for number in LARGE_NUMBERS:
        fields = [b"1", b"3", b"1796000000000"]
        fields[position] = number
        value = b"[" + b",".join(fields) + b"]"
        decoded = decode_record(Topic.ROUTERS, KeyedRecord("part/48720f", value))
        assert decoded.notice is None and decoded.unreadable is not None, value


def test_odd_configurations_are_reported_as_notices_without_data() -> None:
    """Guards against a configuration record that ends the process or replaces the sound one."""
    body = payloads.operator_config()
    too_large = [number for number in LARGE_NUMBERS if number not in (b"-1", b"1.5")]
    odd = [replace_field(body, "version", number) for number in too_large]
    odd += [NESTED, b"\xff", replace_field(body, "routes", NESTED)]
    odd += [replace_field(body, "limits", b'{"max_body_bytes":%b}' % n) for n in too_large]
    for value in odd:
        decoded = decode_record(Topic.OPERATOR, KeyedRecord("config", value))
        assert isinstance(decoded.notice, RoutingNotice), value[:80]
        assert decoded.notice.data is None and decoded.unreadable is not None, value[:80]
        assert len(decoded.notice.problem) <= 200


def test_incomplete_record_is_read_again() -> None:
    """Guards against a server that ends because its entry was cut off."""
    whole = b"\x00\x00\x00\x04\x01av1"
    assert list(decode_records(whole + b"\x00\x00\x00\x09\x01bv")) == [KeyedRecord("a", b"v1")]


def test_record_shorter_than_its_key_removes_nothing() -> None:
    """Guards against a server that ends because another record names a part of its key."""
    (record,) = decode_records(b"\x00\x00\x00\x03\xffs1")
    decoded = decode_record(Topic.SERVERS, record)
    assert decoded.unreadable is not None
    assert isinstance(decoded.notice, ServerNotice) and decoded.notice.server == ""
