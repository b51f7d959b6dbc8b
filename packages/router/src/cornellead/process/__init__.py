"""Assembly, start and shutdown of a router process."""

from __future__ import annotations

from cornellead.process._data_path import DataPath
from cornellead.process._drainer import Drainer
from cornellead.process._router_process import RouterProcess

__all__ = ["DataPath", "Drainer", "RouterProcess"]
