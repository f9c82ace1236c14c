// Package network is the seam between the system's processes and the wire. The programs run on TCP; tests run whole
// clusters in one process on the simulated network in the package simulated.
package network

import (
	"context"
	"net"
)

// Network opens and accepts stream connections.
type Network interface {
	// Listen accepts connections at an address, "ip:port".
	Listen(address string) (net.Listener, error)
	// Dial opens a connection to an address, "ip:port".
	Dial(ctx context.Context, address string) (net.Conn, error)
}
