"""Child processes of a script, and their signals."""

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
    """Memory and processor time of a process."""

    resident_mb: float
    cpu_s: float


class ManagedProcess:
    """A Python process that can be started again after it ended.

    :param command: Arguments of the Python interpreter.
    :param log_path: File to which standard output and standard error are appended.
    """

    def __init__(self, *, name: str, command: list[str], log_path: Path) -> None:
        self.name = name
        self._command = command
        self._log_path = log_path
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the last start, or 0 before the first."""
        return self._popen.pid if self._popen is not None else 0

    @property
    def running(self) -> bool:
        """Whether the process exists; true while it is suspended by SIGSTOP."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process without waiting until it is ready."""
        with self._log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, *self._command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # A Ctrl-C in the terminal then reaches only the script, which stops the fleet.
                start_new_session=True,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; does nothing when the process has ended."""
        if self._popen is not None and self.running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the process to end."""
        self.signal(signal.SIGKILL)
        self.wait(STOP_TIMEOUT_S)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the process to end; returns its exit status, or ``None`` on a timeout."""
        if self._popen is None:
            return None
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def usage(self) -> ProcessUsage:
        """Read resident memory and processor time from ``/proc``; 0 when the process has ended."""
        try:
            pages = Path(f"/proc/{self.pid}/statm").read_text().split()[1]
            stat = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return ProcessUsage(0.0, 0.0)
        ticks = int(stat[11]) + int(stat[12])
        return ProcessUsage(int(pages) * PAGE_BYTES / 1e6, ticks / TICKS_PER_S)

    def log_tail(self, lines: int = 20) -> str:
        """Return the last lines of the log file."""
        if not self._log_path.exists():
            return ""
        return "\n".join(self._log_path.read_text(errors="replace").splitlines()[-lines:])


def interrupt_on_sigterm() -> None:
    """Handle SIGTERM like SIGINT, so that a script stops its fleet when it is terminated."""
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))


def kill_process(pid: int, command_part: str) -> bool:
    """Kill a process that an earlier script started; returns whether it was still running.

    :param command_part: Text in its command line. A process without this text has reused the
        process id and is not killed.
    """
    try:
        command = Path(f"/proc/{pid}/cmdline").read_bytes().decode(errors="replace")
    except OSError:
        return False
    if command_part not in command:
        return False
    os.kill(pid, signal.SIGKILL)
    return True
