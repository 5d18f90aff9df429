#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python, run by the interpreter of the deploy file's
# build, without further packages; so building them is checking that they compile.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the line build of deploy/balancer.toml first" >&2; exit 1; }
exec .venv/bin/python -m compileall -q review/common-2 review/6 review/7 review/8 review/9 review/10
