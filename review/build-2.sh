#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. All are Python; compiling them shows what is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'END'
import glob
for path in ["scripts/fleet.py", "tests/process/platform_fleet.py", *glob.glob("review/common-2/*.py"),
             *glob.glob("review/[6-9]/*.py"), *glob.glob("review/10/*.py")]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
END
