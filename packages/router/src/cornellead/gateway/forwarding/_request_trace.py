"""Record of one request for its log line."""

from __future__ import annotations


class RequestTrace:
    """Attempts, decisions and result of one request."""

    def __init__(self, request_id: str, *, started_at: float) -> None:
        self.request_id = request_id
        self.started_at = started_at
        self.attempts: list[str] = []
        """Server and outcome of each attempt."""
        self.notes: list[str] = []
        """Decisions that were made around the attempts, as short fixed texts."""
        self.tried: set[str] = set()
        """Servers that the request was sent to, or could not be sent to."""
        self.broke_off: set[str] = set()
        """Servers at which an attempt ended without a complete response of theirs."""
        self.unanswered_breaks = 0
        """Servers that broke off the request before they had begun to answer it."""
        self.status = 0
        """Status of the response; 0 if the caller got no complete one."""
        self.cause = ""

    def add_attempt(self, server: str, outcome: str) -> None:
        """Add an attempt; its server is not chosen again for this request.

        :param outcome: Status, or the cause of the failure.
        """
        self.tried.add(server)
        self.attempts.append(f"{server}:{outcome}")

    def add_note(self, text: str) -> None:
        """Add a decision, such as the reason for not retrying."""
        self.notes.append(text)

    def add_note_once(self, text: str) -> None:
        """Add a decision that may be made again and again."""
        if text not in self.notes:
            self.notes.append(text)

    def set_result(self, status: int, cause: str) -> None:
        """Set the status of the response and the reason for it."""
        self.status = status
        self.cause = cause
