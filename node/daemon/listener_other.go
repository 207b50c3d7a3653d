//go:build !linux

package daemon

import "net"

// acceptQueueLength returns 0: the length is only available on Linux.
func acceptQueueLength(net.Listener) int { return 0 }
