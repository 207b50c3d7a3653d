// Package freeport finds free loopback ports for the demo and for tests that
// start processes.
//
// A process reserves blocks of ports. It listens on the first port of each block for
// its whole life, so that no other process that uses this package reserves the same
// block. The blocks lie below the range from which the kernel takes the ports of
// outgoing connections. Together these keep a port free between the search and its
// use.
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
	firstPort     = 10000
	portsPerBlock = 100
	blockCount    = 200
	// dialTimeout bounds the check of one port.
	dialTimeout = 100 * time.Millisecond
)

// pool holds the ports that this process has reserved.
var pool struct {
	mu sync.Mutex
	// guards are the listeners on the first port of each block.
	guards []net.Listener
	// next and end bound the remaining ports of the newest block.
	next, end int
}

// Addrs returns n different addresses of 127.0.0.1 at which nothing listens. It never
// returns an address twice to one process.
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

// reserveBlock reserves a block that no other process holds. The caller holds the lock.
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
	return errors.Errorf("no free block of ports from %d on", firstPort)
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// isFree reports whether nothing listens at an address. It dials the address instead of
// listening on it: a program that another goroutine starts at the same moment would
// inherit the listening socket and keep the port in use.
func isFree(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
