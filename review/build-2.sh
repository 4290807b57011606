#!/bin/sh
# Builds the stand-ins of the second review. They are Python files that use its standard library
# only, so that nothing is to be built but their byte code, which is checked and not kept.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd) || exit 1
exec python3 - "$here" <<'END'
import pathlib
import sys

root = pathlib.Path(sys.argv[1])
for folder in ("kit2", "kit3", "4", "5", "6", "7", "8"):
    for path in sorted((root / folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
END
