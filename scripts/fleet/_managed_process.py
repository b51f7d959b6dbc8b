"""A process that a script started."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

STOP_TIMEOUT_S = 5.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ProcessUsage(NamedTuple):
    """Resources of a process."""

    resident_mb: float
    cpu_s: float


class ManagedProcess:
    """Starts, signals and stops one process.

    :param command: Arguments for the Python interpreter.
    :param log_path: File for standard output and standard error.
    """

    def __init__(self, *, name: str, command: list[str], log_path: Path) -> None:
        self.name = name
        self._command = command
        self._log_path = log_path
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the last start, or 0 before it."""
        return self._popen.pid if self._popen is not None else 0

    @property
    def running(self) -> bool:
        """Whether the process runs; a stopped (SIGSTOP) process counts as running."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process."""
        with self._log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, *self._command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Keeps an interrupt from the terminal away, so that the script stops in order.
                start_new_session=True,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._popen is not None and self.running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End the process without notice."""
        self.signal(signal.SIGKILL)
        self.wait(STOP_TIMEOUT_S)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the end; returns the exit status, or ``None`` after the time-out."""
        if self._popen is None:
            return None
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def usage(self) -> ProcessUsage:
        """Read resident memory and processor time; zero when the process has ended."""
        try:
            pages = Path(f"/proc/{self.pid}/statm").read_text().split()[1]
            stat = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return ProcessUsage(0.0, 0.0)
        ticks = int(stat[11]) + int(stat[12])
        return ProcessUsage(int(pages) * PAGE_BYTES / 1e6, ticks / TICKS_PER_S)

    def tail(self, lines: int = 20) -> str:
        """Return the last lines of the log."""
        if not self._log_path.exists():
            return ""
        return "\n".join(self._log_path.read_text(errors="replace").splitlines()[-lines:])


def exit_on_sigterm() -> None:
    """Handle SIGTERM as an interrupt, so that a script that is ended still stops its fleet."""
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))


def stop_process(pid: int, argument: str) -> bool:
    """End a process that an earlier script started; returns whether it still ran.

    :param argument: Part of its command line; a process that took over the id is left alone.
    """
    try:
        command = Path(f"/proc/{pid}/cmdline").read_bytes().decode(errors="replace")
    except OSError:
        return False
    if argument not in command:
        return False
    os.kill(pid, signal.SIGKILL)
    return True
