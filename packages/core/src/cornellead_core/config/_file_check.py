"""Check of configuration files before they are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from cornellead_core.config._documents import FileNode
from cornellead_core.config._documents import bind_documents
from cornellead_core.config._documents import check_documents
from cornellead_core.config._finding import CheckReport
from cornellead_core.config._finding import Finding
from cornellead_core.config._finding import FindingKind
from cornellead_core.config._object_findings import find_unreachable_entries
from cornellead_core.config._problem import Problem
from cornellead_core.config._route_findings import find_route_findings
from cornellead_core.settings import SettingsError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cornellead_core.config._config_state import ConfigObject
    from cornellead_core.config._documents import ConfigFiles
    from cornellead_core.config._documents import Document
    from cornellead_core.routing import Bounds
    from cornellead_core.routing import RoutingData

ROUTES = "routes"
"""Key that tells a routing configuration from an object."""


class RoutingDecoder(Protocol):
    """Format of the routing configuration in files."""

    def decode(self, data: Mapping[str, Any]) -> RoutingData:
        """Decode a routing configuration.

        :raises ValueError: It is not valid; the message begins with the name of the field.
        """

    def field_path(self, path: Sequence[str]) -> tuple[str, ...]:
        """Return the path in the file of a path in `RoutingData`."""


def check_files(
    files: ConfigFiles,
    *,
    objects: Mapping[str, ConfigObject],
    decoder: RoutingDecoder,
    bounds: Bounds | None = None,
) -> CheckReport:
    """Check objects and routing configurations.

    Entries without effect are searched only among objects without errors.

    :param objects: Published objects by name.
    """
    routings = [item for item in files.nodes if _is_routing(item)]
    documents, errors = bind_documents(item for item in files.nodes if not _is_routing(item))
    errors = [*files.errors, *errors]
    if not files.nodes and not errors and not files.unreadable:
        errors.append(SettingsError("input", 0, "", "no configuration objects and no routes"))
    errors += [] if errors else check_documents(documents, objects)
    findings = [Finding(FindingKind.ERROR, *error) for error in errors]
    if not errors:
        findings += _find_unreachable(documents, objects)
    for item in routings:
        findings += _check_routing(item, decoder, bounds)
    return CheckReport(findings, documents, len(routings))


def _is_routing(item: FileNode) -> bool:
    value = item.node.value
    return isinstance(value, dict) and ROUTES in value and "kind" not in value


def _find_unreachable(
    documents: Sequence[Document], objects: Mapping[str, ConfigObject]
) -> Iterable[Finding]:
    values = {name: item.value for name, item in objects.items() if item.value is not None}
    values |= {document.name: document.value for document in documents}
    by_name = {document.name: document for document in documents}
    for name, problem in find_unreachable_entries(values):
        # What the fleet has already is not part of the change.
        if name in by_name:
            document = by_name[name]
            yield _locate(FindingKind.UNREACHABLE, FileNode(document.file, document.node), problem)


def _check_routing(
    item: FileNode, decoder: RoutingDecoder, bounds: Bounds | None
) -> Iterable[Finding]:
    data = item.node.to_builtins()
    errors = list(_find_decode_errors(data, decoder))
    for problem in errors:
        yield _locate(FindingKind.ERROR, item, problem)
    if errors:
        return
    for kind, problem in find_route_findings(decoder.decode(data), bounds):
        path = decoder.field_path(problem.path)
        yield _locate(kind, item, problem._replace(path=path))


def _find_decode_errors(data: Mapping[str, Any], decoder: RoutingDecoder) -> Iterable[Problem]:
    """Yield the errors of each row by itself, since the decoder ends at the first one."""
    rows = {name: value for name, value in data.items() if isinstance(value, list)}
    without_rows = {**data, **{name: [] for name in rows}}
    return list(_decode_error(without_rows, decoder, ())) or [
        problem
        for name, value in rows.items()
        for number, row in enumerate(value)
        for problem in _decode_error({**without_rows, name: [row]}, decoder, (name, str(number)))
    ]


def _decode_error(
    data: Mapping[str, Any], decoder: RoutingDecoder, path: tuple[str, ...]
) -> Iterable[Problem]:
    try:
        decoder.decode(data)
    except ValueError as exc:
        field, _, message = str(exc).partition(": ")
        yield Problem((*path, field) if message else path, message or field)


def _locate(kind: FindingKind, item: FileNode, problem: Problem) -> Finding:
    line = item.node.line_at(problem.path)
    path = ".".join(problem.path)
    return Finding(kind, item.file, line, path, problem.message, problem.accepted)
