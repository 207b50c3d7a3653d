package daemon

import (
	"net"

	"golang.org/x/sys/unix"
)

// acceptQueueLength returns the number of connections that wait to be accepted, or
// 0 if it is not known. TCP_INFO of a listening socket reports it as unacked.
func acceptQueueLength(l net.Listener) int {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	length := 0
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			length = int(info.Unacked)
		}
	})
	return length
}
