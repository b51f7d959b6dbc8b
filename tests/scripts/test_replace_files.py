"""Replacement of installed modules while processes start."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from scripts.replace_files import replace_files

if TYPE_CHECKING:
    from pathlib import Path

SIZE = 1 << 20
ROUNDS = 60


def test_readers_never_see_a_part_of_a_file(tmp_path: Path) -> None:
    """Guards against a process that starts during a build and imports half a module."""
    target = tmp_path / "deps"
    versions = [bytes([number]) * SIZE for number in range(3)]
    stop = threading.Event()
    seen: list[bytes] = []

    def read() -> None:
        while not stop.is_set():
            data = (target / "pkg" / "module.py").read_bytes()
            if data not in versions:
                seen.append(data[:20])

    (target / "pkg").mkdir(parents=True)
    (target / "pkg" / "module.py").write_bytes(versions[0])
    reader = threading.Thread(target=read)
    reader.start()
    for number in range(ROUNDS):
        source = tmp_path / f"staging{number}"
        (source / "pkg").mkdir(parents=True)
        (source / "pkg" / "module.py").write_bytes(versions[number % 3])
        replace_files(source, target)
    stop.set()
    reader.join()
    assert seen == []


def test_new_directories_are_created_and_other_files_stay(tmp_path: Path) -> None:
    """Guards against a build that loses installed libraries or new packages."""
    source, target = tmp_path / "staging", tmp_path / "deps"
    (source / "pkg" / "new").mkdir(parents=True)
    (source / "pkg" / "new" / "a.py").write_text("a")
    (target / "library").mkdir(parents=True)
    (target / "library" / "b.py").write_text("b")
    replace_files(source, target)
    assert (target / "pkg" / "new" / "a.py").read_text() == "a"
    assert (target / "library" / "b.py").read_text() == "b"
