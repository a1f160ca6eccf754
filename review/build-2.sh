#!/bin/sh
# Builds the stand-ins of review/standin-2/ into target/, which the scripts of the cases 6 to
# 9 start. Run it from anywhere, after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -tags review -o target/review-2 ./review/standin-2
