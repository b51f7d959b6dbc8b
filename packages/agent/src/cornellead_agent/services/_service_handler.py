"""Entry point for the service calls of one agent."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

from cornellead_agent.services import _error_responses
from cornellead_agent.services._append_pacer import AppendPacer
from cornellead_agent.services._call import Call
from cornellead_agent.services._identity import AgentIdentity
from cornellead_agent.services._partition import Partition
from cornellead_agent.services._peer_probe import PeerProbe
from cornellead_agent.services._server_client import SendError
from cornellead_agent.services._server_client import ServerClient
from cornellead_agent.services._service_stats import ServiceStats
from cornellead_core.claims import PARTITION_COUNT
from cornellead_core.claims import check_retention
from cornellead_core.claims import key_digest
from cornellead_core.claims import partition_of
from cornellead_core.claims import request_digest
from cornellead_core.claims import stream_name
from cornellead_core.facts import CONFIG
from cornellead_core.outcomes import Outcome
from cornellead_core.outcomes import Refusal
from cornellead_core.outcomes import RefusalReason
from cornellead_core.pacing import ArrivalTimeout

if TYPE_CHECKING:
    from collections.abc import Callable

    import httpx

    from cornellead_agent.services._service_request import ServiceRequest
    from cornellead_agent.services._service_response import ServiceResponse
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.blackboard import Controller
    from cornellead_core.platform import LogClient
    from cornellead_core.settings import AgentSettings

MAX_KEY_CHARS = 255
MAX_ENTRIES = 30_000
"""Limit on the ledger entries of all partitions, which bounds their memory."""


class ServiceHandler:
    """Executes service calls; every response states whether the operation ran.

    :param client: HTTP client for the server and for readiness probes of other agents.
    :param incarnation: Unix time in milliseconds at which this process started.
    :param leaving: Returns whether the service is being taken out of service.
    :param token: Id of the process, random by default; only tests set it.
    """

    def __init__(
        self,
        *,
        settings: AgentSettings,
        board: Blackboard,
        log: LogClient,
        client: httpx.AsyncClient,
        incarnation: int,
        leaving: Callable[[], bool] = lambda: False,
        token: str | None = None,
    ) -> None:
        service = settings.server.service
        self._validity_s = settings.key_validity_s
        self._board = board
        self._log = log
        self._service = service
        self._server = ServerClient(client=client, url=settings.server.url, leaving=leaving)
        self._probe = PeerProbe(
            server=settings.process.name, service=service, board=board, client=client
        )
        identity = AgentIdentity(
            server=settings.process.name,
            incarnation=incarnation,
            token=token or secrets.token_hex(8),
        )
        pacer = AppendPacer()
        self.stats = ServiceStats()
        self._partitions = [
            Partition(
                number=number,
                stream=stream_name(service=service, partition=number),
                identity=identity,
                log=log,
                pacer=pacer,
                server=self._server,
                stats=self.stats,
                validity_s=self._validity_s,
            )
            for number in range(PARTITION_COUNT)
        ]

    def controllers(self) -> list[Controller]:
        """Return the controllers that the process must run for calls to be executed."""
        return list(self._partitions)

    @property
    def entries(self) -> int:
        """Number of entries in the ledgers of all partitions."""
        return sum(partition.entries for partition in self._partitions)

    @property
    def idle(self) -> bool:
        """Whether no call is in progress and every result is recorded, as a graceful stop needs."""
        return all(partition.idle for partition in self._partitions)

    async def check_log(self) -> Result[None, str]:
        """Check at startup that the log retains claims for as long as keys are valid.

        Each later read checks this again, so an unavailable log is not an error here.

        :returns: Success, or a message that says which setting to change.
        """
        page = await self._log.read(
            stream_name(service=self._service, partition=0), from_offset=0, limit=1
        )
        if not isinstance(page, Success):
            return Success(None)
        retention_s = page.unwrap().retention_s
        return check_retention(validity_s=self._validity_s, retention_s=retention_s)

    async def handle(self, request: ServiceRequest) -> ServiceResponse:
        """Return the response of a call, at the latest at its deadline."""
        if not request.at_most_once:
            return await self._forward(request)
        if not request.key or len(request.key) > MAX_KEY_CHARS:
            return _key_required_response()
        if request.deadline_s <= 0:
            return _refuse(RefusalReason.DEADLINE, "the deadline has passed")
        deadline = asyncio.get_running_loop().time() + min(request.deadline_s, self._validity_s)
        number = partition_of(team=request.team, key=request.key)
        owner = await self._probe.find_preferred_owner(number)
        if owner:
            message = f"{owner} ranks first for the partition of this key; ask that agent"
            return _refuse(RefusalReason.NOT_OWNER, message, hint=owner)
        if self.entries >= MAX_ENTRIES:
            message = "too many idempotency keys are in use at this agent; retry later"
            return _refuse(RefusalReason.OVER_BOUND, message, retry_after_s=5.0)
        return await self._partitions[number].execute(self._make_call(request, deadline))

    def _make_call(self, request: ServiceRequest, deadline: float) -> Call:
        loop = asyncio.get_running_loop()
        expires_ms = None
        if request.key_time_s is not None:
            expires_ms = round((request.key_time_s + self._team_validity_s(request.team)) * 1000)
        return Call(
            request=request,
            key=key_digest(team=request.team, key=request.key or ""),
            request_digest=request_digest(operation=request.operation, body=request.body),
            arrived_at=loop.time(),
            deadline=deadline,
            expires_ms=expires_ms,
            fut=loop.create_future(),
        )

    def _team_validity_s(self, team: str) -> float:
        policy = self._board.read(CONFIG).teams.get(team)
        return self._validity_s if policy is None else min(policy.key_validity_s, self._validity_s)

    async def _forward(self, request: ServiceRequest) -> ServiceResponse:
        if request.deadline_s <= 0:
            return _refuse(RefusalReason.DEADLINE, "the deadline has passed")
        try:
            async with ArrivalTimeout(delay_s=request.deadline_s):
                result = await self._server.send(request, timeout_s=request.deadline_s)
        except TimeoutError:
            message = "the server did not answer in time; the operation may be repeated"
            return _error_responses.unknown_outcome(status=504, code="deadline", message=message)
        if isinstance(result, Success):
            response: ServiceResponse = result.unwrap()
            return response
        if result.failure() is SendError.NOT_SENT:
            message = "the server does not accept connections; retry"
            return _refuse(RefusalReason.SERVER_DOWN, message, retry_after_s=1.0)
        if result.failure() is SendError.TOO_LARGE:
            return _error_responses.error_response(
                status=502,
                code="answer_too_large",
                message="the operation ran, but its answer is too large to be passed on",
                outcome=Outcome.RAN,
            )
        message = "the server's answer was lost; the operation may be repeated"
        return _error_responses.unknown_outcome(status=502, code="answer_lost", message=message)


def _refuse(
    reason: RefusalReason, message: str, *, hint: str = "", retry_after_s: float | None = None
) -> ServiceResponse:
    return _error_responses.refuse(Refusal(reason, message, hint, retry_after_s))


def _key_required_response() -> ServiceResponse:
    return _error_responses.error_response(
        status=400,
        code="idempotency_key_required",
        message=(
            "this operation runs at most once; send an Idempotency-Key header of 1 to"
            f" {MAX_KEY_CHARS} characters and the same key with every retry"
        ),
        outcome=Outcome.NOT_RUN,
    )
