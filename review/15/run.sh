#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt in this folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
[ -e ../common-3/standins.py ] && [ -d ../../target/deps/cornellead ] || exit 2
exec python3 case.py
