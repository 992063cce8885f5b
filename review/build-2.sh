#!/bin/sh
# Builds the stand-in that the scripts of review/6, review/9 and review/10 start. The tag keeps it
# out of CI. The programs of the deploy file are built by its own command.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/ ./review/rig
