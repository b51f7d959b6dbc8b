"""Stand-ins for model engines, plain services and the platform, for tests and measurements."""

from __future__ import annotations

__version__ = "0.1.0"
