"""Reconciliation of the engine's state with the configuration."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog
from returns.result import Success

from cornellead_agent.engine._command_plan import plan_commands
from cornellead_agent.facts import SERVER
from cornellead_core.facts import CONFIG

if TYPE_CHECKING:
    from cornellead_agent.engine._command_plan import Command
    from cornellead_agent.engine._fencing_token import FencingToken
    from cornellead_agent.relay import EngineClient
    from cornellead_core.blackboard import Blackboard

RECONCILE_INTERVAL_S = 1.0
"""Longer than an engine's load report lags behind, so commands in progress are rarely repeated."""
COMMAND_TIMEOUT_S = 5.0
STALE_TOKEN_STATUS = 409
"""Status of a command whose fencing token is older than one that the engine has received."""


class EngineReconciler:
    """Controller that compares desired with actual state and sends commands for the difference.

    A later round corrects the effect of a repeated or late command, even at engines that ignore
    fencing tokens.
    """

    name = "commander"

    def __init__(
        self, *, server: str, board: Blackboard, client: EngineClient, fence: FencingToken
    ) -> None:
        self._server = server
        self._board = board
        self._client = client
        self._fence = fence
        self._log = structlog.get_logger()
        self.commands_sent = 0
        self.commands_rejected = 0

    async def run(self) -> None:
        """Reconcile until cancelled, or until another agent replaces this one at the server."""
        while not self._fence.replaced:
            await self.reconcile()
            await asyncio.sleep(RECONCILE_INTERVAL_S)
        self._log.warning("commands_stopped", reason="another agent took a later fencing token")

    async def reconcile(self) -> None:
        """Run one round, which ends at the first command that fails."""
        desired = self._board.read(CONFIG).servers.get(self._server)
        actual = self._board.read(SERVER)
        if desired is None or not actual.up:
            return
        for command in plan_commands(desired, actual):
            # The token is checked before each command: if the engine ignores tokens, only this
            # check stops an agent that was replaced.
            token = await self._fence.token()
            if token is None or not await self._send(command, token):
                return

    async def _send(self, command: Command, token: int) -> bool:
        if not self._fence.confirmed:
            return False
        body = msgspec.json.encode({"fence": token, "kind": command.kind, "value": command.value})
        fetched = await self._client.fetch(
            "POST",
            "/orders",
            headers=[("content-type", "application/json")],
            body=body,
            timeout_s=COMMAND_TIMEOUT_S,
        )
        if not isinstance(fetched, Success):
            return False
        self.commands_sent += 1
        self.commands_rejected += fetched.unwrap().status == STALE_TOKEN_STATUS
        return bool(fetched.unwrap().status == 200)
