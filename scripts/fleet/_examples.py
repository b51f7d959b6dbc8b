"""Configuration objects of the examples."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import yaml

EXAMPLES = Path(__file__).parents[2] / "examples"
OBJECT_FILES = ("templates.yaml", "teams.yaml")


def read_objects(user: str) -> dict[str, dict[str, Any]]:
    """Read all objects of a user; the key is ``<kind>/<name>``.

    :raises FileNotFoundError: when there are no files for the user.
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
    """Return the bearer token whose SHA-256 the example of the team lists."""
    return f"{team}-example-token"


def teams(user: str) -> list[str]:
    """Return the names of a user's teams."""
    kinds = (name.partition("/") for name in read_objects(user))
    return [name for kind, _, name in kinds if kind == "team"]
