"""A caller that sends requests through any router and checks the answers."""

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
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
MAX_UNKNOWN = 3
"""A call that runs at most once stays unknown when its answer was lost; more retries are vain."""
DEADLINE_S = 20.0
"""Time for a request with all its attempts; each attempt passes on what is left."""
GRACE_S = 5.0
"""Time beyond the deadline after which a caller stops waiting for an answer."""
DATA = "data: "
DONE = "[DONE]"


class Attempt(NamedTuple):
    """Outcome of one attempt: ``completed``, ``not_run``, ``unknown`` or ``cut``."""

    outcome: str
    text: str = ""
    usage: dict[str, Any] | None = None
    first_token_s: float | None = None


class Caller:
    """Sends chats and service calls; retries each through the next router.

    :param routers: Base URLs.
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
        give_up_at = time.monotonic() + DEADLINE_S
        async for url in self._attempt_urls(give_up_at):
            send = self._chat_stream if stream else self._chat_whole
            attempt = await send(url, conversation, give_up_at)
            outcomes.add(attempt.outcome)
            self._tally.attempts += 1
            self._tally.cut += attempt.outcome == "cut"
            if attempt.outcome == "completed":
                self._check_answer(conversation, attempt, expected)
                self._tally.count_final("completed")
                return True
        self._tally.count_final("not_run" if outcomes == {"not_run"} else "unknown")
        return False

    async def call_service(
        self, *, team: str, service: str, operation: str, key: str, body: dict[str, Any]
    ) -> bool:
        """Call a service, with the same key in every attempt; returns whether it completed."""
        name = f"{operation}/{key}"
        headers = _headers(team) | ({"idempotency-key": key} if key else {})
        outcomes: set[str] = set()
        final, unknown = "", 0
        give_up_at = time.monotonic() + DEADLINE_S
        async for url in self._attempt_urls(give_up_at):
            path = f"{url}/v1/services/{service}/{operation}"
            outcome, _ = await self._post(path, body, headers, give_up_at)
            outcomes.add(outcome)
            self._tally.attempts += 1
            unknown += outcome == "unknown"
            if outcome == "completed":
                final = outcome
            if final or unknown >= MAX_UNKNOWN:
                break
        final = final or ("not_run" if outcomes == {"not_run"} else "unknown")
        self._tally.count_final(final)
        if key:
            self._tally.keys[name] = final
        return final == "completed"

    async def _chat_whole(self, url: str, conversation: Conversation, give_up_at: float) -> Attempt:
        path = f"{url}/v1/chat/completions"
        headers = _headers(conversation.team) | {"x-chat-id": conversation.name}
        outcome, resp = await self._post(path, conversation.body(stream=False), headers, give_up_at)
        if resp is None or outcome != "completed":
            return Attempt(outcome)
        answer = resp.json()
        text = answer["choices"][0]["message"]["content"]
        return Attempt(outcome, text, answer.get("usage"))

    async def _chat_stream(
        self, url: str, conversation: Conversation, give_up_at: float
    ) -> Attempt:
        path = f"{url}/v1/chat/completions"
        headers = _headers(conversation.team) | {"x-chat-id": conversation.name}
        started_at = time.monotonic()
        body = conversation.body(stream=True)
        try:
            async with self._client.stream(
                "POST",
                path,
                json=body,
                headers=headers | _deadline(give_up_at),
                timeout=_timeout_s(give_up_at),
            ) as resp:
                if resp.status_code != 200:
                    await resp.aread()
                    return Attempt(self._error_outcome(resp))
                return await self._read_stream(resp, started_at)
        except httpx.ConnectError:
            return Attempt("not_run")
        except httpx.HTTPError as exc:
            self._tally.codes[type(exc).__name__] += 1
            return Attempt("cut")

    async def _read_stream(self, resp: httpx.Response, started_at: float) -> Attempt:
        text, usage, first_token_s = "", None, None
        async for line in resp.aiter_lines():
            if not line.startswith(DATA):
                continue
            data = line.removeprefix(DATA)
            if data == DONE:
                return Attempt("completed", text, usage, first_token_s)
            event = json.loads(data)
            if "error" in event:
                self._tally.codes[f"stream {event['error'].get('code')}"] += 1
                continue
            if first_token_s is None:
                first_token_s = time.monotonic() - started_at
            text += event["choices"][0]["delta"].get("content", "")
            usage = event.get("usage") or usage
        return Attempt("cut")

    async def _post(
        self, url: str, body: dict[str, Any], headers: dict[str, str], give_up_at: float
    ) -> tuple[str, httpx.Response | None]:
        try:
            resp = await self._client.post(
                url,
                json=body,
                headers=headers | _deadline(give_up_at),
                timeout=_timeout_s(give_up_at),
            )
        except httpx.ConnectError:
            return "not_run", None
        except httpx.HTTPError as exc:
            self._tally.codes[type(exc).__name__] += 1
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
        self._tally.codes[f"{resp.status_code} {code} {outcome}"] += 1
        return "unknown" if outcome == "ran" else outcome

    def _check_answer(self, conversation: Conversation, attempt: Attempt, expected: str) -> None:
        tally = self._tally
        if attempt.text != expected:
            tally.broken.append(f"{conversation.name} got a wrong or incomplete answer as whole")
        if attempt.first_token_s is not None:
            tally.first_token_s.append(attempt.first_token_s)
        cached = ((attempt.usage or {}).get("prompt_tokens_details") or {}).get("cached_tokens", 0)
        if conversation.reusable_tokens:
            tally.reusable_tokens += conversation.reusable_tokens
            tally.cached_tokens += min(cached, conversation.reusable_tokens)
        conversation.add_answer(expected)

    async def _attempt_urls(self, give_up_at: float) -> AsyncIterator[str]:
        """Yield the router of each attempt, with a pause between attempts."""
        first = self._rng.randrange(len(self._routers))
        for i in range(MAX_ATTEMPTS):
            if i > 0:
                pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**i)
                await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
            if i > 0 and time.monotonic() >= give_up_at:
                return
            yield self._routers[(first + i) % len(self._routers)]


def _headers(team: str) -> dict[str, str]:
    return {"authorization": f"Bearer {team_token(team)}"}


def _deadline(give_up_at: float) -> dict[str, str]:
    return {"x-deadline-ms": str(max(1, round((give_up_at - time.monotonic()) * 1000)))}


def _timeout_s(give_up_at: float) -> float:
    return max(0.0, give_up_at - time.monotonic()) + GRACE_S
