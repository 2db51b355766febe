#!/usr/bin/env bash
# Plays the case once; see claim.txt. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
[ -x "$root/target/review-2" ] && [ -x "$root/target/dogwoodweir-entry" ] || { echo "build the deploy file and run review/build-2.sh first" >&2; exit 2; }
exec "$root/target/review-2" chain "$root" "$PWD"
