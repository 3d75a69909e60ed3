#!/bin/sh
# Builds the stand-ins of all scripts under review/. Run it from any folder, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/review-cases ./review/standin
