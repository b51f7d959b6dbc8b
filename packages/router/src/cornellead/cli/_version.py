"""``cornellead version``: print the version."""

from __future__ import annotations

import cornellead
from cornellead.cli._exit_code import ExitCode


def run(argv: list[str]) -> int:
    """Print the version of this package.

    :param argv: Ignored.
    :returns: Exit code.
    """
    print(f"cornellead {cornellead.__version__}")
    return ExitCode.OK
