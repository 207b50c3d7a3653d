// Package freeport finds free loopback ports for the demo and for tests that
// start processes.
//
// A process takes blocks of ports. It holds the first port of a block open for
// as long as it lives, so that no other process that uses this package takes
// the same block. The blocks lie below the range from which the kernel takes the
// ports of outgoing connections. Together a port stays free between the search
// and its use.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	firstPort  = 10000
	portsPerBlock = 100
	blockCount     = 200
	// dialTimeout bounds the look at one port.
	dialTimeout = 100 * time.Millisecond
)

// pool is the ports that this process has taken.
var pool struct {
	mu sync.Mutex
	// guards keeps the first port of each block open.
	guards []net.Listener
	// next and end bound the ports of the newest block that are left.
	next, end int
}

// Addrs returns n different addresses of 127.0.0.1 at which nothing
// listens. No address is returned twice to one process.
func Addrs(n int) ([]string, error) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	addrs := make([]string, 0, n)
	for len(addrs) < n {
		if pool.next == pool.end {
			if err := reserveBlock(); err != nil {
				return nil, err
			}
		}
		addr := address(pool.next)
		pool.next++
		if isFree(addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs, nil
}

// reserveBlock takes a block that no other process holds. The caller holds the
// lock.
func reserveBlock() error {
	start := os.Getpid()
	for i := range blockCount {
		first := firstPort + (start+i)%blockCount*portsPerBlock
		guard, err := net.Listen("tcp", address(first))
		if err != nil {
			continue
		}
		pool.guards = append(pool.guards, guard)
		pool.next, pool.end = first+1, first+portsPerBlock
		return nil
	}
	return errors.Errorf("no block of free ports from %d on", firstPort)
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// isFree reports whether nothing listens at an address. It calls the address
// rather than opening it: a socket opened here would be inherited for a moment by
// a program that another goroutine is starting, and keep the port taken.
func isFree(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
