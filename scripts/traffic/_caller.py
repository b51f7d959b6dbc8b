"""Client that retries requests through all routers and checks the responses."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import httpx

from scripts.fleet import team_token

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from scripts.traffic._conversation import Conversation
    from scripts.traffic._tally import Tally

MAX_ATTEMPTS = 8
BACKOFF_BASE_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_UNKNOWN_ATTEMPTS = 3
"""Attempts of a service call with an unknown outcome after which the caller gives up.

The outcome of an at-most-once call whose response was lost stays unknown in every retry.
"""
DEADLINE_S = 20.0
"""Time limit of a request with all its attempts; each attempt sends the remaining time."""
RESPONSE_GRACE_S = 5.0
"""Time that the client waits for a response beyond the deadline."""
DATA_PREFIX = "data: "
STREAM_END = "[DONE]"


class AttemptResult(NamedTuple):
    """Result of one attempt of a request."""

    outcome: str
    """``completed``, ``not_run``, ``unknown``, or ``cut`` for a stream without its end."""
    text: str = ""
    usage: dict[str, Any] | None = None
    first_token_s: float | None = None


class Caller:
    """Sends chats and service calls; each retry goes to the next router.

    :param routers: Base URLs of the routers, or of an engine to bypass them.
    :param tally: Receives the outcomes and the violated guarantees.
    """

    def __init__(
        self,
        *,
        client: httpx.AsyncClient,
        routers: Sequence[str],
        tally: Tally,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._routers = routers
        self._tally = tally
        self._rng = rng

    async def chat(self, conversation: Conversation, *, stream: bool) -> bool:
        """Send the next turn of a conversation; returns whether it completed."""
        expected = conversation.expected_answer()
        outcomes: set[str] = set()
        deadline_at = time.monotonic() + DEADLINE_S
        async for url in self._attempt_urls(deadline_at):
            send = self._chat_streamed if stream else self._chat_unstreamed
            result = await send(url, conversation, deadline_at)
            outcomes.add(result.outcome)
            self._tally.attempts += 1
            self._tally.truncated_streams += result.outcome == "cut"
            if result.outcome == "completed":
                self._check_answer(conversation, result, expected)
                self._tally.record_outcome("completed")
                return True
        self._tally.record_outcome("not_run" if outcomes == {"not_run"} else "unknown")
        return False

    async def call_service(
        self, *, team: str, service: str, operation: str, key: str, body: dict[str, Any]
    ) -> bool:
        """Call a service, with the same idempotency key in every attempt.

        :param key: Idempotency key; empty to send none.
        :returns: Whether the call completed.
        """
        call_name = f"{operation}/{key}"
        headers = _auth_header(team) | ({"idempotency-key": key} if key else {})
        outcomes: set[str] = set()
        final_outcome, unknown = "", 0
        deadline_at = time.monotonic() + DEADLINE_S
        async for url in self._attempt_urls(deadline_at):
            endpoint = f"{url}/v1/services/{service}/{operation}"
            outcome, _ = await self._post(endpoint, body, headers, deadline_at)
            outcomes.add(outcome)
            self._tally.attempts += 1
            unknown += outcome == "unknown"
            if outcome == "completed":
                final_outcome = outcome
            if final_outcome or unknown >= MAX_UNKNOWN_ATTEMPTS:
                break
        final_outcome = final_outcome or ("not_run" if outcomes == {"not_run"} else "unknown")
        self._tally.record_outcome(final_outcome)
        if key:
            self._tally.outcome_by_call[call_name] = final_outcome
        return final_outcome == "completed"

    async def _chat_unstreamed(
        self, url: str, conversation: Conversation, deadline_at: float
    ) -> AttemptResult:
        endpoint = f"{url}/v1/chat/completions"
        headers = _auth_header(conversation.team) | {"x-chat-id": conversation.name}
        outcome, resp = await self._post(
            endpoint, conversation.body(stream=False), headers, deadline_at
        )
        if resp is None or outcome != "completed":
            return AttemptResult(outcome)
        answer = resp.json()
        text = answer["choices"][0]["message"]["content"]
        return AttemptResult(outcome, text, answer.get("usage"))

    async def _chat_streamed(
        self, url: str, conversation: Conversation, deadline_at: float
    ) -> AttemptResult:
        endpoint = f"{url}/v1/chat/completions"
        headers = _auth_header(conversation.team) | {"x-chat-id": conversation.name}
        started_at = time.monotonic()
        body = conversation.body(stream=True)
        try:
            async with self._client.stream(
                "POST",
                endpoint,
                json=body,
                headers=headers | _deadline_header(deadline_at),
                timeout=_timeout_s(deadline_at),
            ) as resp:
                if resp.status_code != 200:
                    await resp.aread()
                    return AttemptResult(self._error_outcome(resp))
                return await self._read_stream(resp, started_at)
        except httpx.ConnectError:
            return AttemptResult("not_run")
        except httpx.HTTPError as exc:
            self._tally.error_counts[type(exc).__name__] += 1
            return AttemptResult("cut")

    async def _read_stream(self, resp: httpx.Response, started_at: float) -> AttemptResult:
        text, usage, first_token_s = "", None, None
        async for line in resp.aiter_lines():
            if not line.startswith(DATA_PREFIX):
                continue
            data = line.removeprefix(DATA_PREFIX)
            if data == STREAM_END:
                return AttemptResult("completed", text, usage, first_token_s)
            event = json.loads(data)
            if "error" in event:
                self._tally.error_counts[f"stream {event['error'].get('code')}"] += 1
                continue
            if first_token_s is None:
                first_token_s = time.monotonic() - started_at
            text += event["choices"][0]["delta"].get("content", "")
            usage = event.get("usage") or usage
        return AttemptResult("cut")

    async def _post(
        self, url: str, body: dict[str, Any], headers: dict[str, str], deadline_at: float
    ) -> tuple[str, httpx.Response | None]:
        try:
            resp = await self._client.post(
                url,
                json=body,
                headers=headers | _deadline_header(deadline_at),
                timeout=_timeout_s(deadline_at),
            )
        except httpx.ConnectError:
            return "not_run", None
        except httpx.HTTPError as exc:
            self._tally.error_counts[type(exc).__name__] += 1
            return "unknown", None
        if resp.status_code == 200:
            return "completed", resp
        return self._error_outcome(resp), resp

    def _error_outcome(self, resp: httpx.Response) -> str:
        try:
            error = resp.json()["error"]
            outcome, code = str(error["outcome"]), str(error.get("code"))
        except (ValueError, KeyError, TypeError):
            outcome, code = "unknown", "malformed"
        self._tally.error_counts[f"{resp.status_code} {code} {outcome}"] += 1
        return "unknown" if outcome == "ran" else outcome

    def _check_answer(
        self, conversation: Conversation, result: AttemptResult, expected: str
    ) -> None:
        tally = self._tally
        if result.text != expected:
            tally.violations.append(
                f"{conversation.name}: completed with a wrong or incomplete answer"
            )
        if result.first_token_s is not None:
            tally.first_token_s.append(result.first_token_s)
        cached = ((result.usage or {}).get("prompt_tokens_details") or {}).get("cached_tokens", 0)
        if conversation.reusable_tokens:
            tally.reusable_tokens += conversation.reusable_tokens
            tally.cached_tokens += min(cached, conversation.reusable_tokens)
        conversation.add_answer(expected)

    async def _attempt_urls(self, deadline_at: float) -> AsyncIterator[str]:
        """Yield the router URL of each attempt, with exponential backoff and jitter in between."""
        first_router = self._rng.randrange(len(self._routers))
        for i in range(MAX_ATTEMPTS):
            if i > 0:
                backoff_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2**i)
                await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            if i > 0 and time.monotonic() >= deadline_at:
                return
            yield self._routers[(first_router + i) % len(self._routers)]


def _auth_header(team: str) -> dict[str, str]:
    return {"authorization": f"Bearer {team_token(team)}"}


def _deadline_header(deadline_at: float) -> dict[str, str]:
    return {"x-deadline-ms": str(max(1, round((deadline_at - time.monotonic()) * 1000)))}


def _timeout_s(deadline_at: float) -> float:
    return max(0.0, deadline_at - time.monotonic()) + RESPONSE_GRACE_S
