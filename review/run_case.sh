#!/usr/bin/env bash
# Runs the driver of case $1 in a temporary folder; its exit code is the result.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/target/bin/egretrackd"
driver="$root/build-review/bin/review_case_$1"
if [ ! -x "$program" ] || [ ! -x "$driver" ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$root"
TROUBLE="${TROUBLE:-1}" timeout -k 2 115 "$driver" "$program" "$work" "$root/review/$1/record.txt"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$work" "$KEEP_LOGS"; fi
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
