#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 need only the standard library; this compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile harness-2/*.py
for case in 6 7 8 9 10; do
    if [ -f "$case/case.py" ]; then python3 -m py_compile "$case/case.py"; fi
done
