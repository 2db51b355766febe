#!/usr/bin/env bash
# Builds what the scripts of review 3 start besides the daemon of the deploy file: the stand-ins, which are Python
# and need nothing but its standard library. It also makes sure that the daemon was built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in sorted(pathlib.Path("review/standins-3").glob("*.py")) + sorted(pathlib.Path("review").glob("1[1-5]/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
if [ ! -x target/dogwoodweir-entry ]; then
  echo "target/dogwoodweir-entry is missing: run the build of deploy/system.toml first" >&2
  exit 2
fi
