#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python modules that need nothing but the standard library, so this
# only compiles them with the interpreter that the build of the deploy file has made.
set -eu
cd "$(dirname "$0")/.."
for file in review/rig_2/*.py review/[6-9]/*.py review/10/*.py; do
    test ! -e "$file" || .venv/bin/python -m py_compile "$file"
done
