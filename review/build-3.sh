#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 14 start beside the project's own program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-drill ./review/drill
