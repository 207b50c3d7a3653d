package daemon

import (
	"net"

	"golang.org/x/sys/unix"
)

// queueLength returns the connections that wait to be accepted, 0 if that can't
// be known. TCP_INFO of a listening socket gives it as unacked.
func queueLength(l net.Listener) int {
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
