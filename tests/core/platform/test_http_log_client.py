"""Records of any content in the log."""

from __future__ import annotations

import httpx
import msgspec
import pytest
from returns.result import Failure
from returns.result import Success

from cornellead_core.platform import HttpHostList
from cornellead_core.platform import HttpLogClient
from cornellead_core.routing import UNKNOWN_ERA

NESTED = b"[" * 100_000 + b"]" * 100_000
ODD_VALUES = {
    "5000_digits": b'{"a":' + b"9" * 5000 + b"}",
    "nested": b'{"a":' + NESTED + b"}",
    "nested_900": b'{"a":' + b"[" * 900 + b"]" * 900 + b"}",
    "nested_65": b'{"a":' + b"[" * 64 + b"]" * 64 + b"}",
    "no_object": b"7",
}


def _client(content: bytes) -> httpx.AsyncClient:
    def respond(request: httpx.Request) -> httpx.Response:
        return httpx.Response(200, content=content)

    return httpx.AsyncClient(transport=httpx.MockTransport(respond))


@pytest.mark.parametrize("name", ODD_VALUES)
async def test_odd_record_does_not_block_the_log(name: str) -> None:
    """Guards against a reader that never passes a record of another writer."""
    content = (
        b'{"records":[[0,0,%b],[1,0,{"kind":"x"}]],"next":2,"oldest":0,"end":2,'
        b'"retention_s":1,"time_ms":1}' % ODD_VALUES[name]
    )
    async with _client(content) as client:
        result = await HttpLogClient(client=client, url="http://x").read("s", from_offset=0)
    assert isinstance(result, Success)
    assert [record.value for record in result.unwrap().records] == [{}, {"kind": "x"}]


async def test_page_nested_too_deeply_is_a_failed_read() -> None:
    """Guards against a page of the log or of the host list that ends the process."""
    async with _client(NESTED) as client:
        log = await HttpLogClient(client=client, url="http://x").read("s", from_offset=0)
        hosts = await HttpHostList(client=client, url="http://x").fetch()
    assert isinstance(log, Failure) and isinstance(hosts, Failure)


async def test_nested_record_and_brackets_in_strings_are_kept() -> None:
    """Guards against a sound record that is dropped for its nesting."""
    value = {"a": "[" * 500 + '\\"{', "b": [[[[[[1]]]]]] * 40}
    record = msgspec.json.encode(value)
    content = (
        b'{"records":[[0,0,%b],[1,0,%b]],"next":2,"oldest":0,"end":2,'
        b'"retention_s":1,"time_ms":1}' % (record, b'{"a":' + NESTED + b"}")
    )
    async with _client(content) as client:
        result = await HttpLogClient(client=client, url="http://x").read("s", from_offset=0)
    assert [record.value for record in result.unwrap().records] == [value, {}]


@pytest.mark.parametrize(
    ("fields", "expected"),
    [(b"", (UNKNOWN_ERA, 0)), (b',"era":3,"restored_ms":7', (3, 7)), (b',"era":-9', (-1, 0))],
)
async def test_page_tells_the_history_that_it_belongs_to(
    fields: bytes, expected: tuple[int, int]
) -> None:
    """Guards against a log service that names no era and can no longer be read."""
    content = b'{"records":[],"next":0,"oldest":0,"end":0,"retention_s":1,"time_ms":9%b}' % fields
    async with _client(content) as client:
        result = await HttpLogClient(client=client, url="http://x").read("s", from_offset=0)
    assert isinstance(result, Success)
    assert (result.unwrap().era, result.unwrap().restored_ms) == expected
