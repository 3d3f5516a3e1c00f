#!/bin/sh
# Prepares the stand-ins of the scripts. They are Python programs, the project's own in tests/process/ too, so there is
# nothing to compile: this checks that they can run.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
import pathlib
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in [*pathlib.Path("review").rglob("*.py"), pathlib.Path("tests/process/platform_fleet.py"),
             pathlib.Path("scripts/fleet.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
for program in target/marigold-gateway target/marigold-stager; do
  test -x "$program" || { echo "$program is missing: build with the command of deploy/system.toml"; exit 1; }
done
echo "the stand-ins of the review are ready"
