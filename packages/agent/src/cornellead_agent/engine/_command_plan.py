"""Commands that turn the actual state of an engine into the desired one."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cornellead_agent.facts import ServerView
    from cornellead_core.config import ServerConfig


class Command(NamedTuple):
    """A command to the engine, to be sent with a fencing token."""

    kind: str
    value: str


def plan_commands(desired: ServerConfig, actual: ServerView) -> list[Command]:
    """Return the commands for the difference between desired and actual state.

    Models are unloaded only when all desired ones are loaded, so the engine always has a model.

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
        # The server's configuration object sets only its state and leaves out models and adapters.
        return commands
    commands.extend(
        Command("unload_adapter", name) for name in actual.adapters if name not in desired.adapters
    )
    if set(models) <= set(actual.models):
        commands.extend(
            Command("unload_model", name) for name in actual.models if name not in models
        )
    return commands
