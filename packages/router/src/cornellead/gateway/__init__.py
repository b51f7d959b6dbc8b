"""Routes requests of any path to servers that the platform's store lists.

Importing this package loads the listening socket only, so that a process can listen first.
"""

from __future__ import annotations

from cornellead.gateway._listening_socket import BACKLOG
from cornellead.gateway._listening_socket import open_listening_socket

__all__ = ["BACKLOG", "open_listening_socket"]
