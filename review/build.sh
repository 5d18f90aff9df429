#!/bin/sh
# Builds the stand-ins: they are Python scripts that need the standard library alone, so this checks that they compile.
set -e
cd "$(dirname "$0")"
exec ../.venv/bin/python -m compileall -q common *
