#!/bin/sh
# The stand-ins are plain Python and need only the environment that the build of deploy/balancer.toml makes; this checks that they compile.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
    print("ok", path)
PY
