#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They
# need Python's standard library alone, so this only compiles them.
cd "$(dirname "$0")" && exec python3 -m py_compile standins_2/fleet.py
