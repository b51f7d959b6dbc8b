"""The cornellead router, its gateway and the command line for operators."""

from __future__ import annotations

__version__ = "0.1.0"
