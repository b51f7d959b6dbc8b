"""Definition and parsing of the flags of one verb."""

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

PLATFORM_VARIABLE = "CORNELLEAD_PLATFORM"


class VerbFlags:
    """Flags and help of one verb, independent of absl's global flags.

    :param usage: Arguments after the verb, for the usage line.
    :param summary: What the verb does.
    :param examples: Command lines, without the leading ``cornellead``.
    :param notes: Further paragraph of the help.
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
        self._flag_names: list[str] = []
        self._needs_platform = False
        self.arguments: list[str] = []
        flags.DEFINE_bool("help", False, "show this help", flag_values=self._values)

    def add_string(self, name: str, default: str | None, help_text: str) -> None:
        """Define a flag whose value is a string."""
        flags.DEFINE_string(name, default, help_text, flag_values=self._values)
        self._flag_names.append(name)

    def add_integer(self, name: str, default: int | None, help_text: str) -> None:
        """Define a flag whose value is an integer."""
        flags.DEFINE_integer(name, default, help_text, flag_values=self._values)
        self._flag_names.append(name)

    def add_number(self, name: str, default: float, help_text: str) -> None:
        """Define a flag whose value is a number, not negative."""
        flags.DEFINE_float(name, default, help_text, lower_bound=0.0, flag_values=self._values)
        self._flag_names.append(name)

    def add_switch(self, name: str, help_text: str) -> None:
        """Define a boolean flag, false by default."""
        flags.DEFINE_bool(name, False, help_text, flag_values=self._values)
        self._flag_names.append(name)

    def add_strings(self, name: str, help_text: str) -> None:
        """Define a string flag that may be given several times."""
        flags.DEFINE_multi_string(name, [], help_text, flag_values=self._values)
        self._flag_names.append(name)

    def add_output_flag(self) -> None:
        """Define ``--output``."""
        help_text = "table for people, json for programs"
        flags.DEFINE_enum("output", "table", ["table", "json"], help_text, flag_values=self._values)
        self._flag_names.append("output")

    def add_platform_flags(self, *, required: bool = True) -> None:
        """Define ``--platform`` and ``--timeout``.

        :param required: Whether parsing fails without a platform URL.
        """
        self._needs_platform = required
        help_text = f"URL of the platform's service; by default ${PLATFORM_VARIABLE}"
        self.add_string("platform", os.environ.get(PLATFORM_VARIABLE), help_text)
        self.add_number("timeout", 10.0, "longest time to wait for the platform, in seconds")

    def add_change_flags(self) -> None:
        """Define the flags common to the verbs that change the configuration."""
        self.add_platform_flags()
        self.add_output_flag()
        self.add_switch("wait", "wait until the change is in force on every listed process")
        author = os.environ.get("USER") or os.environ.get("LOGNAME") or "operator"
        self.add_string("author", author, "name recorded in the audit trail")

    def parse(self, argv: Sequence[str]) -> flags.FlagValues | ExitCode:
        """Parse the command line; positional arguments are then in `arguments`.

        :param argv: The verb, its flags and its arguments.
        :returns: The flags, or the exit code if help or an error was printed.
        """
        try:
            self.arguments = list(self._values(list(argv)))[1:]
        except flags.Error as exc:
            return self.usage_error(str(exc))
        if self._values.help:
            print(self.format_help())
            return ExitCode.OK
        if self._needs_platform and not self._values.platform:
            return self.usage_error(f"give --platform=URL or set {PLATFORM_VARIABLE}")
        if "platform" in self._flag_names and not _is_url_or_empty(self._values.platform or ""):
            return self.usage_error("--platform: use a URL such as http://10.0.0.1:7000")
        return self._values

    def usage_error(self, message: str) -> ExitCode:
        """Print an error about the command line, and return the exit code for it."""
        print(f"cornellead {self._verb}: {message}", file=sys.stderr)
        print(f"usage: cornellead {self._verb} {self._usage}", file=sys.stderr)
        print(f"cornellead {self._verb} --help shows flags and examples", file=sys.stderr)
        return ExitCode.USAGE

    def format_help(self) -> str:
        """Return the text that ``--help`` prints."""
        rows = [f"  --{name}\n      {self._values[name].help}" for name in self._flag_names]
        examples = "\n".join(f"  cornellead {example}" for example in self._examples)
        notes = f"\n{self._notes}\n" if self._notes else ""
        return (
            f"usage: cornellead {self._verb} {self._usage}\n\n{self._summary}\n{notes}\n"
            f"flags:\n"
            + "\n".join(rows)
            + f"\n\nexamples:\n{examples}\n\nexit codes:\n{describe_exit_codes()}"
        )


def _is_url_or_empty(value: str) -> bool:
    return value == "" or re.fullmatch(r"https?://[A-Za-z0-9.:\[\]_-]+(/\S*)?", value) is not None
