// Package freeport finds free loopback ports for the demo and for tests that start
// processes.
//
// A process reserves blocks of ports: it listens on the first port of a block until
// it exits, so that no other process that uses this package takes the same block.
// The blocks lie below the kernel's range of ephemeral ports for outgoing
// connections. Thus a port stays free between the search and its use.
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

// pool holds the port blocks that this process has reserved.
var pool struct {
	mu sync.Mutex
	// listeners are the listeners on the first port of each block.
	listeners []net.Listener
	// next and end delimit the remaining ports of the newest block.
	next, end int
}

// Addrs returns n different addresses on 127.0.0.1 on which nothing listens. It
// returns no address twice in one process.
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

// reserveBlock reserves a block that no other process holds. The caller holds
// pool.mu.
func reserveBlock() error {
	start := os.Getpid()
	for i := range blockCount {
		first := firstPort + (start+i)%blockCount*portsPerBlock
		listener, err := net.Listen("tcp", address(first))
		if err != nil {
			continue
		}
		pool.listeners = append(pool.listeners, listener)
		pool.next, pool.end = first+1, first+portsPerBlock
		return nil
	}
	return errors.Errorf("no free block of ports from %d on", firstPort)
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// isFree reports whether nothing listens on an address. It dials the address instead
// of listening on it: a listening socket could be inherited for a moment by a
// process that another goroutine is starting, which would keep the port in use.
func isFree(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
