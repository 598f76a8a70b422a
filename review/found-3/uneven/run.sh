#!/bin/sh
# Runs the script. Exits with 1 if the job does not end, 0 if it does, 2 if the
# script could not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../../standins-3 exec python3 case.py
