#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs without dependencies, so there
# is nothing to compile; this checks that they can be read by the Python that is here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/standins.py [0-9]/case.py <<'CHECK'
import ast, sys, tomllib
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
    print(f"{path}: read")
CHECK
