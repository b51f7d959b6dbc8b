"""Entry point of the command line; each verb is a module of its own."""

from __future__ import annotations

import importlib
import sys

from cornellead.cli._exit_code import ExitCode
from cornellead.cli._exit_code import describe_exit_codes

VERBS = {
    "serve": "run a router",
    "gateway": "route requests on a host of the platform",
    "check": "find errors and entries without effect in files before they are sent",
    "validate": "check configuration files without publishing them",
    "publish": "publish configuration files to the fleet",
    "diff": "compare configuration files with the fleet",
    "drain": "take a data centre, server or router host out of service",
    "restore": "put a data centre, server or router host back into service",
    "status": "show the state of data centres and servers",
    "audit": "show who changed what, and what was rejected",
    "explain": "show what happened to a request, from logs",
    "version": "print the version",
}


def main() -> int:
    """Run the verb given on the command line.

    Only the module of that verb is imported, so that routers and gateways do not load the libraries
    of other verbs.

    :returns: Exit code of the verb.
    """
    argv = sys.argv[1:]
    if not argv or argv[0] in ("help", "-h", "--help"):
        print(_help())
        return ExitCode.OK if argv else ExitCode.USAGE
    if argv[0] not in VERBS:
        print(f"cornellead: unknown verb {argv[0]!r}\n\n{_help()}", file=sys.stderr)
        return ExitCode.USAGE
    verb_module = importlib.import_module(f"cornellead.cli._{argv[0]}")
    try:
        code: int = verb_module.run(argv)
    except KeyboardInterrupt:
        return 130  # Shell convention: 128 + SIGINT.
    return code


def _help() -> str:
    rows = "\n".join(f"  {verb:<9} {text}" for verb, text in VERBS.items())
    return (
        f"usage: cornellead <verb> [flags]\n\n{rows}\n\n"
        f"exit codes:\n{describe_exit_codes()}\n\n"
        "cornellead <verb> --help shows flags and examples of a verb"
    )
