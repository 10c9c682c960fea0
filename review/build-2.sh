#!/usr/bin/env bash
# Prepares what the scripts of review/6 to review/10 start beside the program
# of the deploy file. Their stand-ins are Python modules, so nothing is
# compiled; the check shows that they can be loaded on this machine.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import sys
sys.path[:0] = ["review/6", "tests/standins/users_platform"]
import deployment  # noqa: F401
import replica  # noqa: F401
import store  # noqa: F401
print("stand-ins of review/6 and tests/standins/users_platform load")
PYTHON
