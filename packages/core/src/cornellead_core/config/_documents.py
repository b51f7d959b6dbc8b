"""Loading and checking of configuration objects in YAML files."""

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

YAML_SUFFIXES = (".yaml", ".yml")
MAX_FILE_BYTES = 16 << 20
"""Above the 100,000 values of a document at 160 bytes each; also ends reading of a device."""


class Document(NamedTuple):
    """A configuration object and its position in a file."""

    file: str
    node: YamlNode
    name: str
    """``<kind>/<name>``."""
    value: dict[str, Any]


class FileNode(NamedTuple):
    """Root of one YAML document, and its file."""

    file: str
    node: YamlNode


class ConfigFiles(NamedTuple):
    """Contents of configuration files."""

    nodes: list[FileNode]
    errors: list[SettingsError]
    """What is not valid YAML."""
    unreadable: list[SettingsError]
    """Files that are missing, or cannot be read as text."""


def load_documents(paths: Sequence[str]) -> Result[list[Document], list[SettingsError]]:
    """Load all objects from files and, recursively, from the YAML files in directories.

    :returns: The documents, or all errors in reading, parsing and naming them.
    """
    files = read_files(paths)
    documents, errors = bind_documents(files.nodes)
    errors = [*files.unreadable, *files.errors, *errors]
    return Failure(errors) if errors else Success(documents)


def read_files(paths: Sequence[str]) -> ConfigFiles:
    """Parse files and, recursively, the YAML files in directories."""
    files = ConfigFiles([], [], [])
    for file in _list_files(paths, files.unreadable):
        try:
            text = _read_text(file)
        except (OSError, ValueError) as exc:
            files.unreadable.append(SettingsError(file, 1, "", f"cannot read the file: {exc}"))
            continue
        parsed = parse_yaml(text, file=file)
        if isinstance(parsed, Success):
            files.nodes.extend(FileNode(file, node) for node in parsed.unwrap())
        else:
            files.errors.extend(parsed.failure())
    return files


def bind_documents(nodes: Iterable[FileNode]) -> tuple[list[Document], list[SettingsError]]:
    """Return the objects of YAML documents, and the errors in naming them."""
    documents: list[Document] = []
    errors: list[SettingsError] = []
    for file, node in nodes:
        loaded = _load_document(node, file)
        if isinstance(loaded, Success):
            documents.append(loaded.unwrap())
        else:
            errors.append(loaded.failure())
    first_by_name: dict[str, Document] = {}
    for document in documents:
        first = first_by_name.setdefault(document.name, document)
        if first is not document:
            message = f"{document.name} is also in {first.file}:{first.node.line}"
            errors.append(SettingsError(document.file, document.node.line, "name", message))
    return documents, errors


def check_documents(
    documents: Sequence[Document],
    objects: Mapping[str, ConfigObject],
    *,
    deleted: Iterable[str] = (),
) -> list[SettingsError]:
    """Check documents and their references against existing objects.

    :param objects: Published objects by name.
    :param deleted: Names of objects that the same change deletes.
    """
    changes: dict[str, dict[str, Any] | None] = dict.fromkeys(deleted)
    changes.update({document.name: document.value for document in documents})
    by_name = {document.name: document for document in documents}
    return [
        _to_settings_error(by_name.get(name), name, problem)
        for name, problem in find_object_problems(objects, changes)
    ]


def _list_files(paths: Sequence[str], errors: list[SettingsError]) -> Iterable[str]:
    for path in paths:
        if not Path(path).is_dir():
            yield path
            continue
        files = sorted(str(p) for p in Path(path).rglob("*") if p.suffix in YAML_SUFFIXES)
        if not files:
            errors.append(SettingsError(path, 1, "", "no configuration files", "*.yaml, *.yml"))
        yield from files


def _read_text(file: str) -> str:
    with Path(file).open("rb") as source:
        data = source.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise ValueError(f"longer than {MAX_FILE_BYTES >> 20} MiB")
    return data.decode("utf-8")


def _load_document(node: YamlNode, file: str) -> Result[Document, SettingsError]:
    accepted_kinds = ", ".join(ObjectKind)
    if not isinstance(node.value, dict):
        return Failure(SettingsError(file, node.line, "", "expected a mapping", "kind, name"))
    value = node.to_builtins()
    kind, name = value.pop("kind", None), value.pop("name", None)
    if kind not in tuple(ObjectKind):
        message = "missing" if kind is None else f"{kind!r} is not a kind"
        return Failure(SettingsError(file, node.line_at(["kind"]), "kind", message, accepted_kinds))
    if not is_name(name):
        message = "missing" if name is None else f"{name!r} is not a name"
        return Failure(SettingsError(file, node.line_at(["name"]), "name", message, NAME_HELP))
    return Success(Document(file, node, f"{kind}/{name}", value))


def _to_settings_error(document: Document | None, name: str, problem: Problem) -> SettingsError:
    """Add file and line to a problem; for a published object its name replaces the file."""
    path = ".".join(problem.path)
    if document is None:
        return SettingsError(f"published {name}", 0, path, problem.message, problem.accepted)
    line = document.node.line_at(problem.path)
    return SettingsError(document.file, line, path, problem.message, problem.accepted)
