"""Identity of an agent process in the records of the claims streams."""

from __future__ import annotations

from cornellead_core.claims import EpochRecord


class AgentIdentity:
    """Identity of one agent process.

    :param incarnation: Unix time in milliseconds at which the process started.
    :param token: Random id of the process. When a paused process was replaced, both have the same
        server name, and the token keeps them from mistaking each other's records for their own.
    """

    def __init__(self, *, server: str, incarnation: int, token: str) -> None:
        self.server = server
        self.incarnation = incarnation
        self.token = token
        self._call_count = 0

    def next_call_id(self) -> str:
        """Return an id that is unique among the calls of all processes."""
        self._call_count += 1
        return f"{self.token}.{self._call_count}"

    def epoch_record(self) -> EpochRecord:
        """Return the record that claims ownership of a partition."""
        return EpochRecord(owner=self.server, incarnation=self.incarnation, token=self.token)
