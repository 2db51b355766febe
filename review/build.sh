#!/bin/sh
# Builds the stand-ins of the review. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/standins -o "$PWD/target/review-standins" .
