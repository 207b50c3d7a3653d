#!/bin/sh
# Builds the stand-ins of the second review's scripts. Run it in the repository's root,
# after the build of deploy/system.toml.
set -e
go build -o target/review-rig-2 review/tools-2/review-rig-2/main.go
