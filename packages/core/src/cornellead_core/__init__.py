"""Library shared by routers and agents: decision rules, settings, platform clients and control
protocol.
"""

from __future__ import annotations

__version__ = "0.1.0"
