#!/usr/bin/env bash
# Passes the whole of the tests: formatter, vet, linter, and the tests of every
# module with the race detector.
set -euo pipefail
cd "$(dirname "$0")"

modules="./core/... ./node/... ./lab/..."

echo "== gofumpt"
unformatted=$(git ls-files '*.go' | xargs go tool gofumpt -l)
if [ -n "$unformatted" ]; then
	echo "not formatted:"
	echo "$unformatted"
	exit 1
fi

echo "== go vet"
go vet $modules

echo "== staticcheck"
go tool staticcheck $modules

echo "== go test -race"
go test -race -count=1 -timeout 20m $modules
