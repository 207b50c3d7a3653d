// Package scenario runs scripted scenarios with both binaries and the stand-ins
// as plain processes on loopback. The scripts are in testdata/script; the
// commands that they add to testscript's are described in its README.md.
package scenario
