"""YAML parser that keeps the line number of every value for error messages."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeAlias

import yaml
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.settings._settings_error import SettingsError

if TYPE_CHECKING:
    from collections.abc import Sequence

Scalar: TypeAlias = str | int | float | bool | None

MAX_DEPTH = 32
MAX_INTEGER_BITS = 64
"""Longer integers are in no setting, and Python cannot print those of over 4,300 digits."""
MAX_NODES = 100_000
"""Maximum number of values in a document after alias expansion.

Nested aliases multiply: without a limit a small file could exhaust the memory.
"""


class YamlNode(NamedTuple):
    """A YAML value and the number of the line it starts on, counted from 1."""

    value: Scalar | dict[str, YamlNode] | list[YamlNode]
    line: int

    def to_builtins(self) -> Any:
        """Return the value as plain Python objects, without line numbers."""
        if isinstance(self.value, dict):
            return {key: node.to_builtins() for key, node in self.value.items()}
        if isinstance(self.value, list):
            return [node.to_builtins() for node in self.value]
        return self.value

    def line_at(self, path: Sequence[str]) -> int:
        """Return the line of the value at a path, or of its nearest existing parent.

        :param path: Mapping keys and list indexes from this node down to the value.
        """
        if not path:
            return self.line
        child: YamlNode | None = None
        if isinstance(self.value, dict):
            child = self.value.get(path[0])
        elif isinstance(self.value, list) and path[0].isdigit() and int(path[0]) < len(self.value):
            child = self.value[int(path[0])]
        return self.line if child is None else child.line_at(path[1:])


_CONSTRUCTION_ERRORS = (yaml.YAMLError, ValueError, ArithmeticError, LookupError, AttributeError)
"""What the parser raises for a scalar that does not fit its tag, such as an empty ``!!int``."""


class _UnsupportedYamlError(Exception):
    """The YAML is valid, but the document has an unsupported construct or is too large."""

    def __init__(self, line: int, path: str, message: str, accepted: str = "") -> None:
        super().__init__(message)
        self.line = line
        self.path = path
        self.message = message
        self.accepted = accepted


def parse_yaml(text: str, *, file: str) -> Result[list[YamlNode], list[SettingsError]]:
    """Parse all documents of a YAML file.

    Only mappings, lists, strings, numbers, booleans and null are accepted; mapping keys are scalars
    and are returned as strings.

    :param file: File name for error messages.
    :returns: The root of each document, or the first error.

    >>> parse_yaml("a: 1", file="x").unwrap()[0].to_builtins()
    {'a': 1}
    >>> print(parse_yaml("a: 1\\na: 2", file="x").failure()[0])
    x:2: a: duplicate key
    """
    try:
        return Success(_read_documents(text))
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        line = 1 if mark is None else mark.line + 1
        return Failure([SettingsError(file, line, "", f"not valid YAML: {exc.problem}")])
    except yaml.YAMLError as exc:
        return Failure([SettingsError(file, 1, "", f"not valid YAML: {exc}")])
    except RecursionError:
        return Failure([SettingsError(file, 1, "", "document is nested too deeply")])
    except _UnsupportedYamlError as exc:
        return Failure([SettingsError(file, exc.line, exc.path, exc.message, exc.accepted)])


def _read_documents(text: str) -> list[YamlNode]:
    # The loader rejects characters that are not printable when it is made.
    loader = yaml.SafeLoader(text)
    try:
        nodes = []
        while loader.check_node():
            root = loader.get_node()
            if root is not None:
                nodes.append(_TreeBuilder(loader).build(root, ()))
        return nodes
    finally:
        loader.dispose()


class _TreeBuilder:
    """Converts the nodes of one document and enforces the limits on depth and size."""

    def __init__(self, loader: yaml.SafeLoader) -> None:
        self._loader = loader
        self._node_count = 0

    def build(self, node: yaml.Node, path: tuple[str, ...]) -> YamlNode:
        line = node.start_mark.line + 1
        self._node_count += 1
        if len(path) > MAX_DEPTH or self._node_count > MAX_NODES:
            raise _UnsupportedYamlError(
                line, ".".join(path), "document is nested too deeply or too large"
            )
        if isinstance(node, yaml.MappingNode):
            return YamlNode(self._mapping(node, path), line)
        if isinstance(node, yaml.SequenceNode):
            items = [self.build(item, (*path, str(i))) for i, item in enumerate(node.value)]
            return YamlNode(items, line)
        return YamlNode(self._scalar(node, path), line)

    def _mapping(self, node: yaml.MappingNode, path: tuple[str, ...]) -> dict[str, YamlNode]:
        mapping: dict[str, YamlNode] = {}
        for key_node, value_node in node.value:
            key_line = key_node.start_mark.line + 1
            if not isinstance(key_node, yaml.ScalarNode):
                raise _UnsupportedYamlError(
                    key_line, ".".join(path), "key is not a string", "a plain string"
                )
            key = key_node.value
            if not _is_unicode(key):
                raise _UnsupportedYamlError(key_line, ".".join(path), "key is not valid Unicode")
            if key in mapping:
                raise _UnsupportedYamlError(key_line, ".".join((*path, key)), "duplicate key")
            mapping[key] = self.build(value_node, (*path, key))
        return mapping

    def _scalar(self, node: yaml.Node, path: tuple[str, ...]) -> Scalar:
        if isinstance(node.value, str) and not _is_unicode(node.value):
            raise _UnsupportedYamlError(
                node.start_mark.line + 1, ".".join(path), "string is not valid Unicode"
            )
        try:
            value = self._loader.construct_object(node)
        except _CONSTRUCTION_ERRORS as exc:
            raise _UnsupportedYamlError(
                node.start_mark.line + 1, ".".join(path), f"cannot read the value: {exc}"
            ) from exc
        if isinstance(value, int) and value.bit_length() > MAX_INTEGER_BITS:
            raise _UnsupportedYamlError(
                node.start_mark.line + 1, ".".join(path), "number is too large"
            )
        if value is None or isinstance(value, str | int | float | bool):
            return value
        raise _UnsupportedYamlError(
            node.start_mark.line + 1,
            ".".join(path),
            f"{type(value).__name__} values are not supported",
            "a string (in quotes), number, true, false or null",
        )


def _is_unicode(text: str) -> bool:
    """Return whether a text can be encoded; an escape may stand for half of a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
