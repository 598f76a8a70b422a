#!/bin/sh
# TROUBLE=0 plays the case without its disruption.
here=$(cd "$(dirname "$0")" && pwd)
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/.." exec python3 "$here/case.py"
