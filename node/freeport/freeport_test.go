package freeport_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"fuchsiavane.org/node/freeport"
)

func TestAddrsAreDifferentAndFree(t *testing.T) {
	is := is.New(t)
	taken, err := freeport.Addrs(1)
	is.NoErr(err)
	listener, err := net.Listen("tcp", taken[0])
	is.NoErr(err)
	defer listener.Close()
	addrs, err := freeport.Addrs(150)
	is.NoErr(err)
	seen := map[string]bool{taken[0]: true}
	for _, addr := range addrs {
		is.True(!seen[addr])
		seen[addr] = true
	}
}
