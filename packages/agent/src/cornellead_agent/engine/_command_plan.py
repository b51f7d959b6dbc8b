"""Difference between the desired and the actual state of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cornellead_agent.facts import ServerView
    from cornellead_core.config import ServerConfig


class Command(NamedTuple):
    """One command to the engine, without its fencing token."""

    kind: str
    value: str


def plan_commands(desired: ServerConfig, actual: ServerView) -> list[Command]:
    """Return the commands that bring an engine to its desired state.

    A model is unloaded only when all desired models are loaded, so that an engine never has none.

    >>> from cornellead_agent.facts import ServerView
    >>> from cornellead_core.config import ServerConfig
    >>> plan_commands(ServerConfig(models=("b",)), ServerView(models=("a",)))
    [Command(kind='load_model', value='b')]
    >>> plan_commands(ServerConfig(models=("b",)), ServerView(models=("a", "b")))
    [Command(kind='unload_model', value='a')]
    """
    commands: list[Command] = []
    if desired.version and desired.version != actual.version:
        commands.append(Command("set_version", desired.version))
    if desired.role and desired.role != actual.role:
        commands.append(Command("set_role", desired.role))
    models = actual.models if desired.models is None else desired.models
    commands.extend(Command("load_model", name) for name in models if name not in actual.models)
    commands.extend(
        Command("load_adapter", name) for name in desired.adapters if name not in actual.adapters
    )
    if desired.models is None:
        # The object may only set the state of the server; it then says nothing of its contents.
        return commands
    commands.extend(
        Command("unload_adapter", name) for name in actual.adapters if name not in desired.adapters
    )
    if set(models) <= set(actual.models):
        commands.extend(
            Command("unload_model", name) for name in actual.models if name not in models
        )
    return commands
