#!/bin/sh
# Builds the stand-ins of the cases 4 to 6: Python's standard library alone, so this
# only checks that they compile, and that the deploy file's build has been run.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib

FOLDERS = ("standins-2", "standins-3", "4", "5", "6", "found/*")
for folder in FOLDERS:
    for path in sorted(pathlib.Path("review").glob(f"{folder}/*.py")):
        compile(path.read_text(), str(path), "exec")
PY
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
