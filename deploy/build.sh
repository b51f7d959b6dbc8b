#!/usr/bin/env bash
# Places the pinned libraries and the packages under target/deps, where the platform looks for them.
set -euo pipefail
stamp=target/.requirements
if ! cmp -s deploy/requirements.txt "$stamp"; then
    python3 -m pip install --quiet --disable-pip-version-check --no-deps --upgrade \
        --target target/deps --requirement deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
for source in packages/core/src packages/router/src platform/src; do
    cp -R "$source"/. target/deps/
done
python3 -m compileall -q target/deps/cornellead target/deps/cornellead_core target/deps/cornellead_platform
