// Package scenario runs scripted scenarios with both binaries and the simulated
// platform and upstreams as processes on loopback. The scripts are in
// testdata/script, whose README.md describes the commands besides testscript's own.
package scenario
