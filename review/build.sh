#!/bin/sh
# Builds the stand-ins of the review's scripts.
cd "$(dirname "$0")/.." || exit 2
exec go build -buildvcs=false -o target/world review/tools/world/main.go
