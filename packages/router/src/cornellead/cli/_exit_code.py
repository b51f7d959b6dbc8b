"""Exit codes of the operators' verbs."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a script may conclude from the end of a verb."""

    OK = 0
    FAILED = 1
    """A file is not valid, or the change was rejected; nothing changed."""
    USAGE = 2
    """The command line is wrong."""
    UNAVAILABLE = 3
    """The platform did not answer; nothing changed."""
    UNKNOWN = 4
    """The change may or may not be on the log; run the same command again to find out."""
    DIFFERENT = 5
    """Files and fleet differ (`diff`)."""
