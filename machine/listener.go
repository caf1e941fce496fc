package machine

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasPending reports whether a connection to a listener waits to be accepted. Closing the listener would
// reset it. The answer is false for a listener without a file descriptor.
func HasPending(l net.Listener) bool {
	c, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}} //nolint:gosec // Descriptors are small numbers.
		n, err := unix.Poll(polled, 0)
		pending = err == nil && n > 0
	})
	return err == nil && pending
}
