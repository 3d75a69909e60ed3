#!/bin/sh
# Builds the stand-ins of the third review (cases 11 to 15). The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
exec go build -tags review -o target/rig-3 ./review/rig-3
