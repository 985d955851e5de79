#!/bin/sh
# Builds what the scripts of this review start beside the deploy file's build:
# their stand-ins, which are Python of the standard library, are only compiled.
cd "$(dirname "$0")/.." || exit 1
exec python3 - review/kit_3 review/11 review/12 review/13 review/14 review/15 <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for folder in sys.argv[1:]:
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
PY
