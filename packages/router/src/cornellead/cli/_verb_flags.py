"""Flags of one verb."""

from __future__ import annotations

import os
import re
import sys
from typing import TYPE_CHECKING

from absl import flags

from cornellead.cli._exit_code import ExitCode
from cornellead.cli._exit_code import describe_exit_codes

if TYPE_CHECKING:
    from collections.abc import Sequence

PLATFORM_ENV = "CORNELLEAD_PLATFORM"


class VerbFlags:
    """Defines and parses the flags of a verb, apart from those of other verbs.

    :param usage: Arguments after the verb.
    :param summary: What the verb does.
    :param examples: Command lines, without the leading ``cornellead``.
    """

    def __init__(
        self, verb: str, *, usage: str, summary: str, examples: Sequence[str], notes: str = ""
    ) -> None:
        self._verb = verb
        self._usage = usage
        self._summary = summary
        self._examples = examples
        self._notes = notes
        self._values = flags.FlagValues()  # type: ignore[no-untyped-call]
        self._names: list[str] = []
        self._needs_platform = False
        self.arguments: list[str] = []
        flags.DEFINE_bool("help", False, "show this help", flag_values=self._values)

    def string(self, name: str, default: str | None, help_text: str) -> None:
        """Define a flag with a string."""
        flags.DEFINE_string(name, default, help_text, flag_values=self._values)
        self._names.append(name)

    def integer(self, name: str, default: int | None, help_text: str) -> None:
        """Define a flag with a whole number."""
        flags.DEFINE_integer(name, default, help_text, flag_values=self._values)
        self._names.append(name)

    def number(self, name: str, default: float, help_text: str) -> None:
        """Define a flag with a number that is not negative."""
        flags.DEFINE_float(name, default, help_text, lower_bound=0.0, flag_values=self._values)
        self._names.append(name)

    def switch(self, name: str, help_text: str) -> None:
        """Define a flag that is off unless given."""
        flags.DEFINE_bool(name, False, help_text, flag_values=self._values)
        self._names.append(name)

    def strings(self, name: str, help_text: str) -> None:
        """Define a flag that may be given several times."""
        flags.DEFINE_multi_string(name, [], help_text, flag_values=self._values)
        self._names.append(name)

    def output(self) -> None:
        """Define ``--output``."""
        help_text = "table for people, json for programs"
        flags.DEFINE_enum("output", "table", ["table", "json"], help_text, flag_values=self._values)
        self._names.append("output")

    def platform(self, *, required: bool = True) -> None:
        """Define ``--platform`` and ``--timeout``."""
        self._needs_platform = required
        help_text = f"URL of the platform's service; by default ${PLATFORM_ENV}"
        self.string("platform", os.environ.get(PLATFORM_ENV), help_text)
        self.number("timeout", 10.0, "longest time to wait for the platform, in seconds")

    def change(self) -> None:
        """Define the flags of verbs that change the configuration."""
        self.platform()
        self.output()
        self.switch("wait", "wait until the change is in force on every listed process")
        author = os.environ.get("USER") or os.environ.get("LOGNAME") or "operator"
        self.string("author", author, "name recorded in the audit trail")

    def parse(self, argv: Sequence[str]) -> flags.FlagValues | ExitCode:
        """Parse the command line.

        :param argv: The verb and what follows it.
        :returns: The flags, or the exit code after help or an error was printed.
        """
        try:
            self.arguments = list(self._values(list(argv)))[1:]
        except flags.Error as exc:
            return self.fail(str(exc))
        if self._values.help:
            print(self.help())
            return ExitCode.OK
        if self._needs_platform and not self._values.platform:
            return self.fail(f"give --platform=URL or set {PLATFORM_ENV}")
        if "platform" in self._names and not _is_url(self._values.platform or ""):
            return self.fail("--platform: use a URL such as http://10.0.0.1:7000")
        return self._values

    def fail(self, message: str) -> ExitCode:
        """Print a usage error and return its exit code."""
        print(f"cornellead {self._verb}: {message}", file=sys.stderr)
        print(f"usage: cornellead {self._verb} {self._usage}", file=sys.stderr)
        print(f"cornellead {self._verb} --help shows flags and examples", file=sys.stderr)
        return ExitCode.USAGE

    def help(self) -> str:
        """Return the help text."""
        rows = [f"  --{name}\n      {self._values[name].help}" for name in self._names]
        examples = "\n".join(f"  cornellead {example}" for example in self._examples)
        notes = f"\n{self._notes}\n" if self._notes else ""
        return (
            f"usage: cornellead {self._verb} {self._usage}\n\n{self._summary}\n{notes}\n"
            f"flags:\n"
            + "\n".join(rows)
            + f"\n\nexamples:\n{examples}\n\nexit codes:\n{describe_exit_codes()}"
        )


def _is_url(value: str) -> bool:
    return value == "" or re.fullmatch(r"https?://[A-Za-z0-9.:\[\]_-]+(/\S*)?", value) is not None
