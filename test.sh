#!/usr/bin/env bash
# Passes the whole of the tests: formatter, vet, linter, and the tests of every
# module with the race detector. Tests named in KNOWN-RED.txt ("test: PACKAGE
# NAME") are passed over and printed at the end.
set -euo pipefail
cd "$(dirname "$0")"

modules="./core/... ./node/... ./platform/... ./cmd/... ./lab/..."

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

# The known red tests as "PACKAGE NAME", one a line.
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
red_packages=$(awk 'NF { print $1 }' <<<"$red" | sort -u)

# without_red drops the packages that have known red tests.
without_red() { grep -vxF -e "${red_packages:-none}" <<<"$1"; }

# skip_pattern prints the -skip pattern for the known red tests of a package.
skip_pattern() {
	awk -v package="$1" '$1 == package { gsub("/", "$/^", $2); print "^" $2 "$" }' <<<"$red" | paste -sd '|'
}

# seed_flag prints the seed's flag for a package with property tests.
seed_flag() {
	if grep -qxF "$1" <<<"$rapid_packages"; then
		echo "-rapid.seed=$rapid_seed"
	fi
}

echo "== go test -race"
status=0
go test -race -count=1 -timeout 8m $(without_red "$other_packages") || status=1
go test -race -count=1 -timeout 8m $(without_red "$rapid_packages") -rapid.seed=$rapid_seed || status=1
for package in $red_packages; do
	go test -race -count=1 -timeout 8m -skip "$(skip_pattern "$package")" "$package" $(seed_flag "$package") || status=1
done

echo "== known red, passed over"
grep -v "^#" KNOWN-RED.txt || echo none
exit $status
