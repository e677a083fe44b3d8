#!/usr/bin/env bash
# Runs the program of a case and writes record.txt into the folder of the case.
# Usage: run_script.sh CASE_FOLDER PROGRAM
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
set -uo pipefail
folder=${1:?folder of the case}
program=${2:?program of the case}
root=$(cd "$(dirname "$0")/../.." && pwd)
options=()
if [ "${TROUBLE:-1}" = 0 ]; then
  options=(--calm)
fi
cd "$root" || exit 2
# The daemons end with the program, however it ends.
timeout -k 2 115 "build-review-2/bin/$program" target/bin/egretrackd "$folder/record.txt" "${options[@]}"
code=$?
if [ "$code" -ne 0 ] && [ "$code" -ne 1 ]; then
  code=2
fi
exit "$code"
