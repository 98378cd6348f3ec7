#!/bin/bash
# Builds the stand-ins of all cases. They are Python programs without dependencies, so that it checks only that they compile.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import glob
for path in sorted(glob.glob("*/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("compiled", path)
END
