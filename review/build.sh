#!/usr/bin/env bash
# The stand-ins of the cases need only the standard library; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
