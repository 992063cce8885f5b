#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Usage: bash review/build.sh, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
