#!/usr/bin/env bash
# Places the pinned libraries and the packages under target/deps, where the platform looks for them.
set -euo pipefail
stamp=target/.requirements
if ! cmp -s deploy/requirements.txt "$stamp"; then
    python3 -m pip install --quiet --disable-pip-version-check --no-deps --upgrade \
        --target target/deps --requirement deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
# Processes may start during a build, so each file is replaced in one step by a complete one.
staging=$(mktemp -d target/staging.XXXXXX)
trap 'rm -rf "$staging"' EXIT
for source in packages/core/src packages/router/src platform/src; do
    cp -R "$source"/. "$staging"/
done
python3 -m compileall -q -s "$staging" -p target/deps "$staging"
python3 scripts/replace_files.py "$staging" target/deps
