#!/bin/bash
# Builds what the scripts of the third review start beside the nodes. Stand-ins and links
# are Python modules that run from the checkout with the packages of the deploy file's
# build, so there is nothing to compile; this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="target/deps:src:.:review/harness-3" PYTHONDONTWRITEBYTECODE=1
exec python3 -c "import deployment, tests.soak.proxy, tests.site.upstream"
