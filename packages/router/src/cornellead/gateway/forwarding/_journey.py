"""What happened to one request, for its log line."""

from __future__ import annotations


class Journey:
    """Attempts, notes and end of one request."""

    def __init__(self, request_id: str, *, started_at: float) -> None:
        self.request_id = request_id
        self.started_at = started_at
        self.attempts: list[str] = []
        """Server and outcome of each attempt."""
        self.notes: list[str] = []
        """Decisions between the attempts."""
        self.tried: set[str] = set()
        """Servers that the request was sent to, or could not be sent to."""
        self.status = 0
        """Status of the response; 0 without a whole one."""
        self.cause = ""

    def add_attempt(self, server: str, outcome: str) -> None:
        """Add an attempt."""
        self.tried.add(server)
        self.attempts.append(f"{server}:{outcome}")

    def note(self, text: str) -> None:
        """Add a decision."""
        self.notes.append(text)

    def end(self, status: int, cause: str) -> None:
        """Set how the request ended."""
        self.status = status
        self.cause = cause
