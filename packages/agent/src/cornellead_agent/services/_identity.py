"""Who this agent process is on the claims streams."""

from __future__ import annotations

from cornellead_core.claims import EpochRecord


class AgentIdentity:
    """Names of one agent process.

    :param token: Random and unique to the process. Two processes of one server name, one of them
        paused and replaced, must not take each other's records for their own.
    """

    def __init__(self, *, server: str, incarnation: int, token: str) -> None:
        self.server = server
        self.incarnation = incarnation
        self.token = token
        self._calls = 0

    def next_call_id(self) -> str:
        """Return an id that no other call of any process has."""
        self._calls += 1
        return f"{self.token}.{self._calls}"

    def epoch_record(self) -> EpochRecord:
        """Return the record that takes ownership of a partition."""
        return EpochRecord(owner=self.server, incarnation=self.incarnation, token=self.token)
