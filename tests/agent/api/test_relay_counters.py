"""Token counts of relayed chat completions."""

from __future__ import annotations

from cornellead_agent.api._relay_counters import RelayCounters


def test_completion_with_deeply_nested_fields_fails_no_request() -> None:
    """Guards against an exception in the request in place of the error for a malformed answer."""
    counters = RelayCounters()
    nested = b"[" * 100_000 + b"]" * 100_000
    assert counters.count_usage(b'{"usage": {"prompt_tokens": 3}, "x": ' + nested + b"}") is None
    assert counters.prompt_tokens == 0
    assert counters.count_usage(b'{"usage": {"prompt_tokens": 3}}') == 0
    assert counters.prompt_tokens == 3
