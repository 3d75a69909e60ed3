#!/bin/bash
# Builds what the scripts of the second review start beside the build of the deploy file. It needs no network once the modules of go.mod
# are there, as after that build.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/rig-2
