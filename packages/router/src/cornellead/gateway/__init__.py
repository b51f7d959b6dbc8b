"""Gateway: forwards HTTP requests to the servers that are listed in the platform's store.

This package itself imports only the listening socket, so that a process can listen before it loads
the rest.
"""

from __future__ import annotations

from cornellead.gateway._listening_socket import BACKLOG
from cornellead.gateway._listening_socket import open_listening_socket

__all__ = ["BACKLOG", "open_listening_socket"]
