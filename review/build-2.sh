#!/bin/bash
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file. They are
# Python: this compiles them and sees that they find their packages in target/deps.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness review/[6-9] $(ls -d review/10 2>/dev/null) tests/site/store.py tests/soak/proxy.py
PYTHONPATH="target/deps:src:." python3 -c "import review.harness.client, review.harness.platform, tests.site.store, tests.soak.proxy"
