#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd) || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/.." timeout 112 python3 "$here/run.py"
case $? in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
