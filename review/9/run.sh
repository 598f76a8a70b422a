#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec python3 case.py
