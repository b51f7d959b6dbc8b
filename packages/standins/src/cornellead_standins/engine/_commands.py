"""Commands of the agent that change models, adapters, version and role."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Literal

import httpx
import msgspec

if TYPE_CHECKING:
    from cornellead_standins.engine._engine import Engine

FETCH_RETRY_INTERVAL_S = 0.2


class Command(msgspec.Struct):
    """Body of ``POST /orders``; ``fence`` is the fencing token of the sender."""

    fence: int
    kind: Literal[
        "load_model", "unload_model", "load_adapter", "unload_adapter", "set_version", "set_role"
    ]
    value: str


class CommandExecutor:
    """Executes commands; rejects a stale fencing token if the engine honours fencing."""

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine
        self._loading: dict[str, asyncio.Task[None]] = {}

    def execute(self, command: Command) -> bool:
        """Execute a command; returns whether its fencing token was accepted.

        A model with weights to fetch is loaded in the background.
        """
        engine = self._engine
        if engine.settings.honours_fence and command.fence < engine.fence:
            return False
        engine.fence = command.fence
        match command.kind:
            case "load_model":
                self._load_model(command.value)
            case "unload_model":
                task = self._loading.pop(command.value, None)
                if task is not None:
                    task.cancel()
                engine.models.discard(command.value)
            case "load_adapter":
                engine.adapters.add(command.value)
            case "unload_adapter":
                engine.adapters.discard(command.value)
            case "set_version":
                engine.version = command.value
            case "set_role":
                engine.role = command.value
        return True

    def _load_model(self, model: str) -> None:
        if not self._engine.settings.platform_url:
            self._engine.models.add(model)
        elif model not in self._engine.models and model not in self._loading:
            self._loading[model] = asyncio.create_task(self._fetch_weights(model))

    async def _fetch_weights(self, model: str) -> None:
        version = self._engine.version or "latest"
        url = f"{self._engine.settings.platform_url}/weights/{model}/{version}"
        async with httpx.AsyncClient() as client:
            while not await _try_fetch(client, url):
                await asyncio.sleep(FETCH_RETRY_INTERVAL_S)
        self._engine.models.add(model)
        self._loading.pop(model, None)


async def _try_fetch(client: httpx.AsyncClient, url: str) -> bool:
    try:
        return (await client.get(url)).status_code == 200
    except httpx.HTTPError:
        return False
