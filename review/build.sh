#!/bin/sh
# Builds the stand-ins of the cases. They use the modules of go.mod and no others.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && go build -tags review -o review/bin/standin ./review/standin
