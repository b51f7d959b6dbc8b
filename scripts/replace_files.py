"""Moves the files of one directory into another, where each replaces the previous one by rename.

Usage: replace_files.py SOURCE TARGET. Both have to be on the same file system.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path


def replace_files(source: Path, target: Path) -> None:
    """Move all files of a directory, so that readers see either the previous or the new file.

    Source files come first: a compiled file that is older than its source is compiled again.
    """
    paths = [path for path in source.rglob("*") if path.is_file()]
    for path in sorted(paths, key=lambda path: (path.suffix == ".pyc", path)):
        destination = target / path.relative_to(source)
        destination.parent.mkdir(parents=True, exist_ok=True)
        os.replace(path, destination)


if __name__ == "__main__":
    replace_files(Path(sys.argv[1]), Path(sys.argv[2]))
