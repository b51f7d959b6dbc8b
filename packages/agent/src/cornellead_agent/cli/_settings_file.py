"""Reads the settings until the shared loader replaces it."""

from __future__ import annotations

from typing import Any

import yaml
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.settings import AgentSettings
from cornellead_core.settings import ProcessSettings
from cornellead_core.settings import ServerSettings


def read_settings(path: str) -> Result[AgentSettings, str]:
    """Read a YAML file."""
    try:
        with open(path, encoding="utf-8") as file:
            values: dict[str, Any] = yaml.safe_load(file)
        process = ProcessSettings(**values.pop("process"))
        server = ServerSettings(**values.pop("server"))
        return Success(AgentSettings(process=process, server=server, **values))
    except (OSError, yaml.YAMLError, KeyError, TypeError) as exc:
        return Failure(f"{path}: {exc!r}; correct the settings")
