#!/bin/sh
# Checks the stand-ins of the cases 11 to 15, which need no build: they are
# Python and use the standard library only. Run after the build of the deploy
# file, from any folder.
cd "$(dirname "$0")" || exit 2
python3 - <<'EOF'
import pathlib

for path in sorted(pathlib.Path('.').glob('1[1-5]/case.py')):
    compile(path.read_text(), str(path), 'exec')
path = pathlib.Path('standins-3/platform_3.py')
compile(path.read_text(), str(path), 'exec')
print('the stand-ins are ready')
EOF
