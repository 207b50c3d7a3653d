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

# Property tests run from a fixed seed, so that a run's verdict is repeatable.
rapid_seed=20260105
imports='{{.ImportPath}}{{range .TestImports}} {{.}}{{end}}{{range .XTestImports}} {{.}}{{end}}'
rapid_packages=$(go list -f "$imports" $modules | awk '/ pgregory.net\/rapid/{print $1}')
other_packages=$(go list -f "$imports" $modules | awk '!/ pgregory.net\/rapid/{print $1}')

echo "== go test -race"
go test -race -count=1 -timeout 20m $other_packages
go test -race -count=1 -timeout 20m $rapid_packages -rapid.seed=$rapid_seed
