"""Exit codes of the verbs."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a script may conclude from the end of a verb."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNKNOWN = 4
    DIFFERENT = 5
    PENDING = 6

    @property
    def meaning(self) -> str:
        """Text for the help."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "a file is not valid or the change was rejected; nothing changed",
    ExitCode.USAGE: "the command line is wrong",
    ExitCode.UNAVAILABLE: "the platform or the fleet did not answer; nothing changed",
    ExitCode.UNKNOWN: "the log did not confirm the change; run the same command again",
    ExitCode.DIFFERENT: "files and fleet differ (diff)",
    ExitCode.PENDING: "accepted, but some processes did not confirm it in time (--wait)",
}


def describe_exit_codes() -> str:
    """Return one line per exit code."""
    return "\n".join(f"  {code.value}  {code.meaning}" for code in ExitCode)
