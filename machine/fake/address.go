package fake

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// ReserveAddress returns a loopback address that refuses connections until the clean-up. The port of a
// listener that was closed can go to another process, so that a test's connection to it isn't refused.
func ReserveAddress() (string, knapweedpulley.Cleanup, error) {
	// A socket that is bound but doesn't listen keeps its port.
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, errors.Wrap(err, "create a socket")
	}
	cleanup := func() { _ = syscall.Close(socket) }
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		cleanup()
		return "", nil, errors.Wrap(err, "bind a socket")
	}
	name, err := syscall.Getsockname(socket)
	bound, ok := name.(*syscall.SockaddrInet4)
	if err != nil || !ok {
		cleanup()
		return "", nil, errors.Newf("address of a socket: %v", err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.Port), cleanup, nil
}
