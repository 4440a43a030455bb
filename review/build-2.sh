#!/bin/sh
# Builds the stand-ins of the second review, which the scripts of review/6 to review/10 start.
# Run it after the build of the deploy file; it needs no network then.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review2 -o bin/review2-standins ./review/standins2
