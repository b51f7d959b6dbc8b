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
    from collections.abc import Sequence

    from scripts.traffic._conversation import Conversation
    from scripts.traffic._tally import Tally

MAX_ATTEMPTS = 8
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
DEADLINE_MS = 20_000
TIMEOUT_S = 25.0
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
        for url in self._rotate_routers():
            send = self._chat_stream if stream else self._chat_whole
            attempt = await send(url, conversation)
            outcomes.add(attempt.outcome)
            self._tally.attempts += 1
            self._tally.cut += attempt.outcome == "cut"
            if attempt.outcome == "completed":
                self._check_answer(conversation, attempt, expected)
                self._tally.count_final("completed")
                return True
            await self._pause(len(outcomes))
        self._tally.count_final("not_run" if outcomes == {"not_run"} else "unknown")
        return False

    async def call_service(
        self, *, team: str, service: str, operation: str, key: str, body: dict[str, Any]
    ) -> bool:
        """Call a service, with the same key in every attempt; returns whether it completed."""
        name = f"{operation}/{key}"
        headers = _headers(team) | ({"idempotency-key": key} if key else {})
        outcomes: set[str] = set()
        final = ""
        for url in self._rotate_routers():
            path = f"{url}/v1/services/{service}/{operation}"
            outcome, _ = await self._post(path, body, headers)
            outcomes.add(outcome)
            self._tally.attempts += 1
            if outcome == "completed":
                final = outcome
                break
            await self._pause(len(outcomes))
        final = final or ("not_run" if outcomes == {"not_run"} else "unknown")
        self._tally.count_final(final)
        if key:
            self._tally.keys[name] = final
        return final == "completed"

    async def _chat_whole(self, url: str, conversation: Conversation) -> Attempt:
        path = f"{url}/v1/chat/completions"
        headers = _headers(conversation.team) | {"x-chat-id": conversation.name}
        outcome, resp = await self._post(path, conversation.body(stream=False), headers)
        if resp is None or outcome != "completed":
            return Attempt(outcome)
        answer = resp.json()
        text = answer["choices"][0]["message"]["content"]
        return Attempt(outcome, text, answer.get("usage"))

    async def _chat_stream(self, url: str, conversation: Conversation) -> Attempt:
        path = f"{url}/v1/chat/completions"
        headers = _headers(conversation.team) | {"x-chat-id": conversation.name}
        started_at = time.monotonic()
        body = conversation.body(stream=True)
        try:
            async with self._client.stream(
                "POST", path, json=body, headers=headers, timeout=TIMEOUT_S
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
        self, url: str, body: dict[str, Any], headers: dict[str, str]
    ) -> tuple[str, httpx.Response | None]:
        try:
            resp = await self._client.post(url, json=body, headers=headers, timeout=TIMEOUT_S)
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

    def _rotate_routers(self) -> list[str]:
        first = self._rng.randrange(len(self._routers))
        return [self._routers[(first + i) % len(self._routers)] for i in range(MAX_ATTEMPTS)]

    async def _pause(self, failures: int) -> None:
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**failures)
        await asyncio.sleep(pause_s * (0.5 + self._rng.random()))


def _headers(team: str) -> dict[str, str]:
    return {
        "authorization": f"Bearer {team_token(team)}",
        "x-deadline-ms": str(DEADLINE_MS),
    }
