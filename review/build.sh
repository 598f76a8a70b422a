#!/bin/sh
# Builds what the scripts start beside the system itself: the stand-ins, which
# are Python modules without dependencies.
set -e
here=$(cd "$(dirname "$0")" && pwd)
python3 -m compileall -q "$here/standins"
