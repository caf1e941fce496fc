package machine

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many bytes of a connection the kernel has accepted and the peer's kernel has
// not. The answer is zero for a connection without a file descriptor.
func Unacknowledged(c net.Conn) int {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	if err != nil {
		return 0
	}
	return queued
}
