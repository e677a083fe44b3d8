#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run_case.sh" 5
