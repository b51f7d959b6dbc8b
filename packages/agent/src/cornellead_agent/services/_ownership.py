"""Ownership of one partition by this agent process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead_agent.services._outbox import EPOCH_NAME

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from cornellead_agent.services._identity import AgentIdentity
    from cornellead_agent.services._outbox import Outbox
    from cornellead_agent.services._service_stats import ServiceStats
    from cornellead_core.claims import EpochRecord

TAKEOVER_HOLDOFF_S = 1.0
"""Minimum time between losing a partition and acquiring it again. Without it, two agents whose host
lists differ would acquire the partition in turn."""
EPOCH_RENEWAL_FRACTION = 0.04
"""Interval at which an idle owner renews its epoch, as a fraction of the key validity. The log
retains records for at least 1.11 times the validity, and keys are remembered for 1.05 times."""
MIN_EPOCH_RENEWAL_S = 10.0


class Ownership:
    """Epoch under which this process owns a partition.

    The latest epoch record on the stream names the owner; its offset is the epoch of later claims.

    :param validity_s: Validity of a key in seconds.
    """

    def __init__(
        self,
        *,
        identity: AgentIdentity,
        outbox: Outbox,
        stats: ServiceStats,
        logger: FilteringBoundLogger,
        validity_s: float,
    ) -> None:
        self._identity = identity
        self._outbox = outbox
        self._stats = stats
        self._logger = logger
        self._superseded_at = -TAKEOVER_HOLDOFF_S
        self.epoch = -1
        """Offset of this process's epoch record, negative without ownership."""
        self.new_owner = ""
        """Server that took the partition over from this process, empty if unknown."""
        self.renewal_s = max(MIN_EPOCH_RENEWAL_S, EPOCH_RENEWAL_FRACTION * validity_s)
        """Interval in seconds at which an idle owner renews its epoch."""

    @property
    def held(self) -> bool:
        """Whether this process owns the partition, as far as the stream was read."""
        return self.epoch >= 0

    @property
    def may_acquire(self) -> bool:
        """Whether the holdoff since the last takeover by another process is over."""
        return asyncio.get_running_loop().time() - self._superseded_at >= TAKEOVER_HOLDOFF_S

    def request_epoch(self) -> None:
        """Put an epoch record into the outbox unless one is pending, to acquire or renew."""
        if EPOCH_NAME not in self._outbox:
            self._outbox.put(EPOCH_NAME, self._identity.epoch_record())

    def apply_epoch(self, record: EpochRecord, offset: int) -> bool:
        """Apply an epoch record that was read from the stream.

        :returns: Whether this process lost the partition by it.
        """
        if record.token == self._identity.token:
            if not self.held:
                self._stats.ownerships += 1
                self._logger.info("partition_taken", epoch=offset)
            self.epoch = offset
            self._outbox.drop(EPOCH_NAME)
            return False
        if not self.held:
            return False
        self.supersede(record.owner)
        return True

    def supersede(self, new_owner: str) -> None:
        """Give up the partition and start the holdoff.

        :param new_owner: Server that owns the partition now, empty if unknown.
        """
        self._superseded_at = asyncio.get_running_loop().time()
        self._drop(new_owner)

    def forget(self) -> None:
        """Give up the partition without a holdoff, because its epoch may be lost."""
        if self.held:
            self._drop("")
        self.new_owner = ""

    def _drop(self, new_owner: str) -> None:
        self.epoch = -1
        self.new_owner = new_owner
        self._stats.ownerships_lost += 1
        self._logger.info("partition_lost", owner=new_owner)
