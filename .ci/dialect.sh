#!/usr/bin/env bash
# Fails if Go code outside platform/ contains a header, path or field name of the users'
# platform.
set -euo pipefail
cd "$(dirname "$0")/.."
pattern='X-Dogwoodweir-|Server-Leaving|/dogwoodweir/(rows|blob|report|kv|hold|readiness)|"(slo_ms|kv_capacity|row_ver|cold_left_ms|retain_history)"'
status=0
git grep -nE "$pattern" -- '*.go' ':!platform' || status=$?
case $status in
  1) ;; # no match
  0)
    echo "names of the users' platform may be used only in platform/" >&2
    exit 1
    ;;
  *)
    echo "git grep failed with status $status: the names were not checked" >&2
    exit 1
    ;;
esac
