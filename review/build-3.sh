#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start: Python files of the standard library.
set -euo pipefail
cd "$(dirname "$0")"
[ -d ../target/deps/cornellead ] || { echo "run the build of the deploy file first" >&2; exit 1; }
for file in common-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'PY'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
PY
done
