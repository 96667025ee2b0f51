#!/bin/sh
# Checks the stand-ins of the cases. They are Python programs of the standard
# library only and need no build; shallotd comes from the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 -B - stand_ins/*.py [1-5]/*.py <<'PROGRAM'
import sys
import tomllib

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PROGRAM
