"""Status of a router for operators."""

from __future__ import annotations

import resource
from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypedDict

from cornellead_core.config import Priority
from cornellead_core.facts import CONFIG

if TYPE_CHECKING:
    from cornellead.dispatch import AgentClient
    from cornellead.dispatch import HintSender
    from cornellead.stats import RouterStats
    from cornellead.waiting import WaitQueues
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.metrics import LatencyHistogram
    from cornellead_core.retries import RetryBudget
    from cornellead_core.settings import ProcessSettings
    from cornellead_core.wire import Traffic


class Quantiles(TypedDict):
    """Summary of a latency histogram, in milliseconds."""

    samples: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class StatusBody(TypedDict):
    """Body of ``GET /status``."""

    name: str
    dc: str
    config_offset: int
    in_progress: int
    waiting: dict[str, int]
    attempts: int
    """Requests sent to agents, including retries."""
    retries: int
    retries_refused: int
    """Retries that exceeded the retry budget."""
    resumes: int
    events: int
    """Stream events forwarded to callers."""
    hints: int
    """Cache hints sent to agents."""
    refusals: dict[str, int]
    """Error responses to callers by code."""
    agent_refusals: dict[str, int]
    """Refusals from agents by reason; after most of them the router tries another server."""
    control_bytes: int
    """Control traffic, sent and received."""
    control_bytes_per_s: float
    added_first_token: Quantiles
    """Time to first token that the router adds, without time in the wait queue."""
    wait: Quantiles
    """Time in the wait queue, of the requests that waited."""
    resident_bytes: int
    cpu_s: float
    uptime_s: float


class StatusCollector:
    """Collects the values of ``GET /status`` from the parts of one router."""

    def __init__(
        self,
        *,
        process: ProcessSettings,
        board: Blackboard,
        agent_client: AgentClient,
        wait_queues: WaitQueues,
        budget: RetryBudget,
        hints: HintSender,
        stats: RouterStats,
        traffic: Traffic,
        started_at: float,
    ) -> None:
        self._process = process
        self._board = board
        self._agent_client = agent_client
        self._wait_queues = wait_queues
        self._budget = budget
        self._hints = hints
        self._stats = stats
        self._traffic = traffic
        self._started_at = started_at

    def collect(self, *, now: float) -> StatusBody:
        """Return the current status.

        :param now: Loop time in seconds.
        """
        uptime_s = max(1e-3, now - self._started_at)
        control_rate = self._traffic.bytes_per_s(started_at=self._started_at, now=now)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return StatusBody(
            name=self._process.name,
            dc=self._process.dc,
            config_offset=self._board.read(CONFIG).offset,
            in_progress=self._stats.in_progress,
            waiting={str(priority): self._wait_queues.count(priority) for priority in Priority},
            attempts=self._agent_client.attempts,
            retries=self._budget.spent,
            retries_refused=self._budget.refused,
            resumes=self._stats.resumes,
            events=self._stats.events_forwarded,
            hints=self._hints.sent,
            refusals=dict(self._stats.refusals),
            agent_refusals=dict(self._agent_client.refusals),
            control_bytes=self._traffic.total_bytes,
            control_bytes_per_s=round(control_rate, 1),
            added_first_token=_summarize(self._stats.added_latency),
            wait=_summarize(self._stats.queue_latency),
            resident_bytes=_resident_bytes(),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 3),
            uptime_s=round(uptime_s, 3),
        )


def _summarize(latency: LatencyHistogram) -> Quantiles:
    p50, p95, p99 = (round(latency.quantile(fraction) * 1000, 3) for fraction in (0.5, 0.95, 0.99))
    return Quantiles(samples=latency.count, p50_ms=p50, p95_ms=p95, p99_ms=p99)


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()
