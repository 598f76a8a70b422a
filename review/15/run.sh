#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../standins-3 exec python3 case.py
