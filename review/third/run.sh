#!/usr/bin/env bash
# Runs one case. Usage: run.sh FOLDER NAME TROUBLE; FOLDER is that of the case,
# and TROUBLE 0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
driver=build-review-3/review_case
if [ ! -x "$driver" ] || [ ! -x target/bin/egretrackd ]; then
  echo "the case cannot run: build the deploy file and review/build-3.sh first" > "$folder/record.txt"
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=5 115 "$driver" "$2" "$folder/record.txt" "$temporary" "$3"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  cp "$temporary"/*.log "$KEEP_LOGS"
fi
[ "$code" -le 2 ] || code=2
exit "$code"
