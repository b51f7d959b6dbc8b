"""Loads the settings of a router or an agent from a file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.settings._agent_settings import AgentSettings
from cornellead_core.settings._binder import Binder
from cornellead_core.settings._router_settings import RouterSettings
from cornellead_core.settings._settings_error import SettingsError
from cornellead_core.settings._yaml_tree import parse_yaml


def load_router_settings(path: str | Path) -> Result[RouterSettings, list[SettingsError]]:
    """Load the settings of a router from a YAML file.

    :returns: The settings, or every error found in the file.
    """
    return _load(path, RouterSettings)


def load_agent_settings(path: str | Path) -> Result[AgentSettings, list[SettingsError]]:
    """Load the settings of an agent from a YAML file.

    :returns: The settings, or every error found in the file.
    """
    return _load(path, AgentSettings)


def _load(path: str | Path, cls: type[Any]) -> Result[Any, list[SettingsError]]:
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Failure([SettingsError(file, 1, "", f"cannot read the file: {exc}")])
    parsed = parse_yaml(text, file=file)
    if not isinstance(parsed, Success):
        return parsed
    documents = parsed.unwrap()
    if len(documents) != 1:
        message = f"file has {len(documents)} documents"
        return Failure([SettingsError(file, 1, "", message, "one YAML document")])
    binder = Binder(file=file)
    settings = binder.bind(documents[0], cls)
    return Failure(binder.errors) if binder.errors else Success(settings)
