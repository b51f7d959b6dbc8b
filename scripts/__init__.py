"""Scripts that run fleets of separate processes on one host."""

from __future__ import annotations
