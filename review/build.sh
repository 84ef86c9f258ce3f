#!/bin/sh
# The stand-ins of the cases are Python 3 scripts that need no build. This checks that the interpreter can read them.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib/*.py [0-9]*/*.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
