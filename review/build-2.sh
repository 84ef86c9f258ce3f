#!/bin/sh
# Builds what the cases 6 to 10 start besides the program of the deploy file: nothing but stand-ins in Python, which
# need no build. Checks that each can be read.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PY'
import ast, glob
for path in sorted(glob.glob("lib2/*.py") + glob.glob("[0-9]*/case.py")):
    if path[0] in "12345" and not path.startswith("10/"):
        continue
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
