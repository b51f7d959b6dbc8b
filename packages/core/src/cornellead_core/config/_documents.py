"""Configuration objects as YAML documents."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.config._object_name import NAME_HELP
from cornellead_core.config._object_name import ObjectKind
from cornellead_core.config._object_name import is_name
from cornellead_core.config._validation import find_object_problems
from cornellead_core.settings import SettingsError
from cornellead_core.settings import YamlNode
from cornellead_core.settings import parse_yaml

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cornellead_core.config._config_state import ConfigObject
    from cornellead_core.config._problem import Problem

SUFFIXES = (".yaml", ".yml")


class Document(NamedTuple):
    """One object with the place it was read from."""

    file: str
    node: YamlNode
    name: str
    """``<kind>/<name>``."""
    value: dict[str, Any]


def load_documents(paths: Sequence[str]) -> Result[list[Document], list[SettingsError]]:
    """Load all objects of files, and of the YAML files in directories.

    :returns: The documents, or every error that makes a file unreadable.
    """
    documents: list[Document] = []
    errors: list[SettingsError] = []
    for file in _expand(paths, errors):
        try:
            text = Path(file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            errors.append(SettingsError(file, 1, "", f"cannot read the file: {exc}"))
            continue
        parsed = parse_yaml(text, file=file)
        if not isinstance(parsed, Success):
            errors += parsed.failure()
            continue
        for node in parsed.unwrap():
            loaded = _load_document(node, file)
            if isinstance(loaded, Success):
                documents.append(loaded.unwrap())
            else:
                errors.append(loaded.failure())
    first: dict[str, Document] = {}
    for document in documents:
        other = first.setdefault(document.name, document)
        if other is not document:
            message = f"{document.name} is also in {other.file}:{other.node.line}"
            errors.append(SettingsError(document.file, document.node.line, "name", message))
    return Failure(errors) if errors else Success(documents)


def check_documents(
    documents: Sequence[Document],
    objects: Mapping[str, ConfigObject],
    *,
    deleted: Iterable[str] = (),
) -> list[SettingsError]:
    """Check documents, with the references that they make, against existing objects.

    :param deleted: Names of objects that the same change deletes.
    """
    changes: dict[str, dict[str, Any] | None] = dict.fromkeys(deleted)
    changes.update({document.name: document.value for document in documents})
    by_name = {document.name: document for document in documents}
    return [
        _locate(by_name.get(name), name, problem)
        for name, problem in find_object_problems(objects, changes)
    ]


def _expand(paths: Sequence[str], errors: list[SettingsError]) -> Iterable[str]:
    for path in paths:
        if not Path(path).is_dir():
            yield path
            continue
        files = sorted(str(p) for p in Path(path).rglob("*") if p.suffix in SUFFIXES)
        if not files:
            errors.append(SettingsError(path, 1, "", "no configuration files", "*.yaml, *.yml"))
        yield from files


def _load_document(node: YamlNode, file: str) -> Result[Document, SettingsError]:
    kinds = ", ".join(ObjectKind)
    if not isinstance(node.value, dict):
        return Failure(SettingsError(file, node.line, "", "expected a mapping", "kind, name"))
    value = node.plain()
    kind, name = value.pop("kind", None), value.pop("name", None)
    if kind not in tuple(ObjectKind):
        message = "missing" if kind is None else f"{kind!r} is not a kind"
        return Failure(SettingsError(file, node.line_at(["kind"]), "kind", message, kinds))
    if not is_name(name):
        message = "missing" if name is None else f"{name!r} is not a name"
        return Failure(SettingsError(file, node.line_at(["name"]), "name", message, NAME_HELP))
    return Success(Document(file, node, f"{kind}/{name}", value))


def _locate(document: Document | None, name: str, problem: Problem) -> SettingsError:
    """Give a problem its file and line; one in a published object has the object as its file."""
    path = ".".join(problem.path)
    if document is None:
        return SettingsError(f"published {name}", 0, path, problem.message, problem.accepted)
    line = document.node.line_at(problem.path)
    return SettingsError(document.file, line, path, problem.message, problem.accepted)
