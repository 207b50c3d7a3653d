// Package freeport finds free loopback ports for the demo and for tests that
// start processes.
//
// The ports lie below the range from which the kernel takes the ports of
// outgoing connections, so that a port stays free between the search and its
// use by another process.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	firstPort = 10000
	portCount = 20000
	// stride spreads the starting points of processes with neighbouring ids.
	stride = 997
)

// next counts the ports tried by this process. Processes start at different
// places, so that they seldom try the same port at the same time.
var next atomic.Uint32

// Addrs returns n different addresses of 127.0.0.1 whose TCP and UDP ports are
// free.
func Addrs(n int) ([]string, error) {
	start := os.Getpid() * stride
	addrs := make([]string, 0, n)
	for range portCount {
		if len(addrs) == n {
			return addrs, nil
		}
		port := firstPort + (start+int(next.Add(1)))%portCount
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if free(addr) {
			addrs = append(addrs, addr)
		}
	}
	return nil, errors.Errorf("fewer than %d free ports from %d on", n, firstPort)
}

func free(addr string) bool {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	defer packets.Close()
	return true
}
