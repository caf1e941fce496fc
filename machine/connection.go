package machine

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// RefusesConnections reports whether a new connection to an address is refused: the
// machine is up, but no process listens on the port.
func RefusesConnections(ctx context.Context, d *net.Dialer, address string) bool {
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
