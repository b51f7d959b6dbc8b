"""Orders to move a service to another version, and the routers' record of their progress."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RolloutOrder(NamedTuple):
    """Order of an operator to move the traffic of a service to the servers of a version."""

    service: str
    to: str
    """Version of the servers that are to get the traffic."""
    duration_s: float
    """Time from the order to its deadline."""
    order_id: int
    """Offset of the order in the store: an order that is written again is another one."""


class RolloutPhase(StrEnum):
    """Progress of a rollout."""

    RUNNING = "running"
    """The new version gets a small share of the requests."""
    MOVING = "moving"
    """The new version gets the requests, as far as its share of all since the order allows it; the
    old servers still run and finish theirs."""
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def ended(self) -> bool:
        """Whether nothing follows."""
        return self in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)

    @property
    def status(self) -> str:
        """The value of ``state`` in the status that operators read."""
        return RolloutPhase.RUNNING.value if self is RolloutPhase.MOVING else self.value


class RolloutRecord(NamedTuple):
    """State of the rollout of a service, as one router at a time writes it to the store."""

    order_id: int
    to: str
    phase: RolloutPhase
    share: float
    """Share of the requests that the new version gets while the rollout is running; while it is
    moving, the limit of its share of all requests since the order."""
    elapsed_s: float
    """Time from the order to this record. The clocks of routers differ, so no time is stored."""
    announced: bool
    """Whether the status for operators was written after this phase began."""
    reason: str = ""
    """Why the rollout was rolled back."""


class RolloutOrderNotice(NamedTuple):
    """New or withdrawn order of a rollout."""

    service: str
    order: RolloutOrder | None
    """``None`` if the order was withdrawn."""


class RolloutNotice(NamedTuple):
    """Change of the state of a rollout."""

    service: str
    record: RolloutRecord
