"""Runs the data path of a router without listening sockets; tests call it through ASGI."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
from typing import TYPE_CHECKING
from typing import Any

from returns.result import Failure
from returns.result import Result

from cornellead.limits import ShareController
from cornellead.process import DataPath
from cornellead_core.auth import FleetKey
from cornellead_core.blackboard import Blackboard
from cornellead_core.blackboard import run_controllers
from cornellead_core.config import EMPTY_CONFIG
from cornellead_core.config import FleetConfig
from cornellead_core.config import Priority
from cornellead_core.config import ServicePolicy
from cornellead_core.config import TeamPolicy
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.settings import ProcessSettings
from cornellead_core.settings import RouterSettings
from cornellead_core.wire import Traffic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from tests.router.fake_agent import FakeAgent

    from cornellead_core.wire import Message

KEY = "0123456789abcdef"
SERVICES = {
    "booking": ServicePolicy(idempotent=frozenset({"look"}), at_most_once=frozenset({"hold"}))
}


def make_team(name: str, **overrides: Any) -> TeamPolicy:
    """Return a team whose token is its name, with the given fields replaced."""
    team = TeamPolicy(
        name=name,
        models=frozenset({"m"}),
        token_digests=frozenset({hashlib.sha256(name.encode()).hexdigest()}),
        default_priority=Priority.INTERACTIVE,
        allowed_priorities=frozenset(Priority),
        requests_per_s=1000.0,
        concurrent_requests=1000,
        load_bound=1.25,
        services=SERVICES,
        key_validity_s=3600.0,
    )
    return team._replace(**overrides)


def make_config(*teams: TeamPolicy, **overrides: Any) -> FleetConfig:
    """Return a configuration with these teams and the given fields replaced."""
    cfg = EMPTY_CONFIG._replace(
        offset=0,
        teams={team.name: team for team in teams},
        teams_by_token={digest: team for team in teams for digest in team.token_digests},
        models=frozenset({"m"}),
    )
    return cfg._replace(**overrides)


class FakeControlClient:
    """Records control messages; every request fails."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []

    async def request(self, address: str, message: Message) -> Result[Message, str]:
        """Record the message and return a failure."""
        self.sent.append((address, message))
        return Failure("no peer")


class Caller:
    """Connection of one caller to the router.

    While `reading` is cleared, the caller does not read and sends of the router block.
    """

    def __init__(self, app: Any) -> None:
        self._app = app
        self._disconnected = asyncio.Event()
        self.reading = asyncio.Event()
        self.reading.set()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.data_received = asyncio.Event()

    async def send(
        self,
        path: str,
        body: bytes | None,
        *,
        team: str = "a",
        method: str = "POST",
        **fields: str,
    ) -> Caller:
        """Send a request and wait for the complete response.

        :param body: ``None`` for a body that never arrives.
        :param fields: Headers; ``_`` in a name stands for ``-``.
        """
        sent = {"authorization": f"Bearer {team}", **fields}
        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "root_path": "",
            "scheme": "http",
            "headers": [
                (name.replace("_", "-").encode(), text.encode()) for name, text in sent.items()
            ],
            "client": ("127.0.0.1", 1),
            "server": ("127.0.0.1", 2),
        }
        received = False

        async def receive() -> dict[str, Any]:
            nonlocal received
            if not received and body is not None:
                received = True
                return {"type": "http.request", "body": body, "more_body": False}
            await self._disconnected.wait()
            return {"type": "http.disconnect"}

        await self._app(scope, receive, self._receive_event)
        return self

    async def chat(self, *, stream: bool = True, text: str = "hello", **fields: Any) -> Caller:
        """Send a chat request and wait for the complete response."""
        content: dict[str, Any] = {"model": "m", "stream": stream}
        content["messages"] = [{"role": "user", "content": text}]
        return await self.send("/v1/chat/completions", json.dumps(content).encode(), **fields)

    def disconnect(self) -> None:
        """Close the connection."""
        self._disconnected.set()

    @property
    def error(self) -> dict[str, Any]:
        """Error object in the response body or in the last event of the stream."""
        _, _, data = self.body.rpartition(b"event: error\ndata: ")
        found: dict[str, Any] = json.loads(data)["error"]
        return found

    @property
    def stream_complete(self) -> bool:
        """Whether the stream ends with the event that marks it as complete."""
        return self.body.endswith(b"data: [DONE]\n\n")

    async def _receive_event(self, message: Any) -> None:
        await self.reading.wait()
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {name.decode(): text.decode() for name, text in message["headers"]}
        else:
            assert not self.complete
            self.body += message["body"]
            self.complete = not message["more_body"]
        self.data_received.set()


class RouterHarness:
    """Running router with its blackboard and the control messages that it sent."""

    def __init__(self, data_path: DataPath, board: Blackboard, control: FakeControlClient) -> None:
        self.data_path = data_path
        self.board = board
        self.control = control

    def caller(self) -> Caller:
        """Return the connection of a new caller."""
        return Caller(self.data_path.app)


@contextlib.asynccontextmanager
async def running_router(
    agents: Sequence[FakeAgent],
    *,
    cfg: FleetConfig | None = None,
    **settings: Any,
) -> AsyncIterator[RouterHarness]:
    """Run a router with these agents in its host list.

    :param cfg: Configuration, by default with teams ``a`` and ``b``.
    :param settings: Fields of the router settings to replace.
    """
    board = Blackboard()
    board.write(CONFIG, cfg or make_config(make_team("a"), make_team("b")))
    for agent in agents:
        await agent.start()
    board.write(HOSTS, tuple(agent.entry() for agent in agents))
    process = ProcessSettings("r", "region", "dc-a", "", "", "", KEY)
    control = FakeControlClient()
    data_path = DataPath(
        settings=RouterSettings(process, default_deadline_s=10.0)._replace(**settings),
        board=board,
        key=FleetKey(secret=KEY.encode()),
        traffic=Traffic(),
        control=control,
        on_newer_config=lambda _: None,
    )
    shares = ShareController(
        board=board, team_limiter=data_path.team_limiter, client=control, router="r"
    )
    await shares.report()
    background = asyncio.create_task(run_controllers([shares, *data_path.controllers()]))
    try:
        yield RouterHarness(data_path, board, control)
    finally:
        background.cancel()
        data_path.pool.close()
        for agent in agents:
            await agent.stop()
