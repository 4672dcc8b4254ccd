#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. They are Python and use only the
# libraries that the build of the deploy file has placed under target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." python3 -S - <<'CHECK'
import ast
import pathlib

import aiohttp  # noqa: F401 - the stand-ins need it
import msgspec  # noqa: F401 - the stand-ins need it

folders = ["review/rig3", *(f"review/{number}" for number in range(11, 16))]
for folder in folders:
    for source in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(source.read_text(encoding="utf-8"), str(source))
        print(f"{source}: built")
CHECK
