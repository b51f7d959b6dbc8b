"""Entry point of ``python -m cornellead.cli``."""

from __future__ import annotations

import sys

from cornellead.cli._main import main

if __name__ == "__main__":
    sys.exit(main())
