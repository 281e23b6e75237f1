#!/bin/sh
# Builds what the scripts of the review start: the project's program, by the build of its deploy file. The stand-ins
# are Python files that need no build; this checks that they can be read by a Python that has tomllib (3.11 or later).
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --bin parsleythread
python3 -c '
import ast, sys, tomllib
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
' review/standins.py review/*/case.py
