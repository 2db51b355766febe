#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10: one program, from the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOFLAGS=-buildvcs=false go build -o ../../target/review-2 .
