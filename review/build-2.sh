#!/bin/sh
# Builds the stand-in that the scripts of review/6, review/9 and review/10 start. The programs of the deploy file are built by its own command.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/ ./review/rig
