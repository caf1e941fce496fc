package fleet

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	loopback = "127.0.0.1"
	// firstPort (inclusive) and lastPort (exclusive) limit the chosen ports to a range
	// below the one from which the kernel takes the local ports of outgoing
	// connections. A connection therefore can't take a port that was chosen for a
	// listener.
	firstPort = 12000
	lastPort  = 32000
)

// ports allocates free TCP ports on the loopback interface.
type ports struct {
	next int
}

func newPorts() *ports {
	return &ports{next: firstPort + rand.IntN(lastPort-firstPort)} //nolint:gosec // Only spreads the ports.
}

// address returns host and port of a free port. It fails if all ports of the range
// are in use.
func (p *ports) address() (string, error) {
	for range lastPort - firstPort {
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		address := net.JoinHostPort(loopback, strconv.Itoa(p.next))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("no port is free")
}

// addresses returns n addresses with free ports.
func (p *ports) addresses(n int) ([]string, error) {
	list := make([]string, n)
	for i := range list {
		address, err := p.address()
		if err != nil {
			return nil, err
		}
		list[i] = address
	}
	return list, nil
}
