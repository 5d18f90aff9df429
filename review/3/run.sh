#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: every comment line with a blank line of its own.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 115 ../../.venv/bin/python case.py
