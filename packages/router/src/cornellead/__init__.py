"""Router and operator command line of cornellead."""

from __future__ import annotations

__version__ = "0.1.0"
