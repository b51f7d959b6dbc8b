"""Scripts that run a fleet as separate processes on one host: demo, measurements, up and down."""

from __future__ import annotations
