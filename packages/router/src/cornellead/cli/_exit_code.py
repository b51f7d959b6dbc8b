"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a verb, for scripts that call it."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNKNOWN = 4
    DIFFERENT = 5
    PENDING = 6

    @property
    def meaning(self) -> str:
        """Explanation in the help."""
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
    """Return the exit codes and their meanings for the help, one per line."""
    return "\n".join(f"  {code.value}  {code.meaning}" for code in ExitCode)
