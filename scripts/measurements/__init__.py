"""Measurements of single parts."""

from __future__ import annotations
