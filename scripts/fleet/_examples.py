"""Configuration objects under ``examples/``."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import yaml

EXAMPLES = Path(__file__).parents[2] / "examples"
OBJECT_FILES = ("templates.yaml", "teams.yaml")


def read_example_objects(user: str) -> dict[str, dict[str, Any]]:
    """Return all example objects of a user by ``<kind>/<name>``.

    :raises FileNotFoundError: when the user has no example files.
    """
    objects: dict[str, dict[str, Any]] = {}
    for name in OBJECT_FILES:
        text = (EXAMPLES / user / name).read_text()
        for document in yaml.safe_load_all(text):
            if document is None:
                continue
            value = {key: document[key] for key in document if key not in ("kind", "name")}
            objects[f"{document['kind']}/{document['name']}"] = value
    return objects


def team_token(team: str) -> str:
    """Return the bearer token of a team; the team's example object lists its SHA-256 digest."""
    return f"{team}-example-token"


def team_names(user: str) -> list[str]:
    """Return the names of all teams in the examples of a user."""
    kinds = (name.partition("/") for name in read_example_objects(user))
    return [name for kind, _, name in kinds if kind == "team"]
