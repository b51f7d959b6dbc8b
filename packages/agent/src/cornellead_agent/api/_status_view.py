"""Status of the agent for operators, metrics and measurement scripts."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING
from typing import Any

from cornellead_agent.facts import SERVER
from cornellead_core.facts import CONFIG

if TYPE_CHECKING:
    from cornellead_agent.admission import AdmissionController
    from cornellead_agent.admission import ColdLimit
    from cornellead_agent.api._clock import Clock
    from cornellead_agent.api._relay_counters import RelayCounters
    from cornellead_agent.chats import ChatIndex
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.settings import AgentSettings
    from cornellead_core.wire import Traffic

STATM_PATH = "/proc/self/statm"


class StatusView:
    """Collects the JSON object of ``GET /status``."""

    def __init__(
        self,
        *,
        settings: AgentSettings,
        board: Blackboard,
        admission: AdmissionController,
        cold_limit: ColdLimit,
        chats: ChatIndex,
        counters: RelayCounters,
        traffic: Traffic,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._board = board
        self._admission = admission
        self._cold_limit = cold_limit
        self._chats = chats
        self._counters = counters
        self._traffic = traffic
        self._clock = clock
        self._started_at = clock.monotonic()

    def collect(self) -> dict[str, Any]:
        """Return the present status; the keys are part of the HTTP API."""
        now = self._clock.monotonic()
        cfg = self._board.read(CONFIG)
        estimate = self._admission.estimate(now=now)
        server = self._board.read(SERVER)
        counters = self._counters
        return {
            "server": self._settings.process.name,
            "dc": self._settings.process.dc,
            "state": self._admission.state.value,
            "load": self._admission.in_flight,
            "limit": self._admission.limit(now=now),
            "cold_limit": self._cold_limit.value,
            "cold_drops": self._cold_limit.drops,
            "capacity": self._admission.capacity,
            "rho": round(estimate.rho, 6),
            "estimate_age_s": round(estimate.oldest_s, 3),
            "estimate_servers": estimate.servers,
            "admissions": self._admission.admissions,
            "refusals": dict(self._admission.refusals),
            "max_over_mean": round(self._admission.max_over_mean, 4),
            "prompt_tokens": counters.prompt_tokens,
            "cached_tokens": counters.cached_tokens,
            "completion_tokens": counters.completion_tokens,
            "completed": counters.completed,
            "engine_errors": counters.engine_errors,
            "resumes": counters.resumes,
            "moved": counters.moved,
            "cancelled": counters.cancelled,
            "duplicates": counters.duplicates,
            "chats": len(self._chats),
            "server_boot_id": server.boot_id,
            "server_running": server.running,
            "config_offset": cfg.offset,
            "control_bytes": self._traffic.total_bytes,
            "control_bytes_per_s": round(
                self._traffic.bytes_per_s(started_at=self._started_at, now=now), 1
            ),
            "resident_bytes": resident_bytes(),
        }


def resident_bytes() -> int:
    """Return the resident set size of this process."""
    with open(STATM_PATH, encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()
