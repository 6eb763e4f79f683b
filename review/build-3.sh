#!/bin/sh
# Builds what the scripts of review 3 start beside `target/release/jayhalld`. Their stand-ins are Python programs of the
# standard library, in `review/harness-3`, so nothing has to be compiled; this checks that they can be read.
cd "$(dirname "$0")/.." || exit 2
command -v python3 >/dev/null || { echo "no python3"; exit 2; }
python3 -B - review/harness-3/*.py review/1[1-5]/case.py <<'PY'
import ast, pathlib, sys
for path in sys.argv[1:]:
    if pathlib.Path(path).exists():
        ast.parse(pathlib.Path(path).read_text(), path)
PY
