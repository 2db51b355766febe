#!/usr/bin/env bash
# Fails if Go code outside platform/ contains a header, path or field name of the users'
# platform.
set -euo pipefail
cd "$(dirname "$0")/.."
pattern='X-Dogwoodweir-|/dogwoodweir/(rows|blob|report|kv|hold|readiness)|"(slo_ms|kv_capacity|row_ver|cold_left_ms|retain_history)"'
if git grep -nE "$pattern" -- '*.go' ':!platform'; then
  echo "names of the users' platform may be used only in platform/" >&2
  exit 1
fi
