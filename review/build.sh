#!/bin/sh
# Builds the stand-ins that the scripts start. Needs no network.
set -e
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -tags review -o target/review-standin ./review/standin
