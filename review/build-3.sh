#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -ldflags=-linkmode=external -o target/review-standin-3 ./review/standin-3
