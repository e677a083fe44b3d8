#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec ../third/run.sh "$PWD" held-request "${TROUBLE:-1}"
