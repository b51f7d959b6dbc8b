"""HTTP/1.1 connection of a caller of the own interface."""

from __future__ import annotations

from cornellead_core.serving import PacedHttpProtocol

BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class HttpProtocol(PacedHttpProtocol):
    """Uvicorn's protocol that rejects what its parser cannot read in full."""

    def on_headers_complete(self) -> None:
        """Start the request, unless it offers another protocol and has a body.

        The parser ends at the head of such a request, which would run without its body.

        :raises ValueError: The request has to be rejected with 400.
        """
        if self.parser.should_upgrade() and any(name in BODY_HEADERS for name, _ in self.headers):
            raise ValueError("a request with a body offers another protocol")
        super().on_headers_complete()
