"""Result of the check of configuration files."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from cornellead_core.config._documents import Document
from cornellead_core.settings import SettingsError


class FindingKind(StrEnum):
    """What is wrong with an entry."""

    ERROR = "error"
    """The fleet would reject it."""
    UNREACHABLE = "unreachable"
    """It is valid, but no request can ever match or use it."""
    CONTRADICTION = "contradiction"
    """Its limits cannot hold together."""


class Finding(NamedTuple):
    """One finding and its place; the fields are keys of the JSON output."""

    kind: FindingKind
    file: str
    line: int
    path: str
    message: str
    accepted: str = ""

    def __str__(self) -> str:
        error = SettingsError(self.file, self.line, self.path, self.message, self.accepted)
        return f"{error} [{self.kind}]"


class CheckReport(NamedTuple):
    """Findings in files, and the configuration objects that were read from them."""

    findings: list[Finding]
    documents: list[Document]
    routings: int
    """Number of routing configurations that were read."""

    @property
    def has_errors(self) -> bool:
        """Whether the fleet would reject the files."""
        return any(item.kind is FindingKind.ERROR for item in self.findings)
