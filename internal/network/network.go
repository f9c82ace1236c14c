// Package network abstracts the stream network between the system's processes. The programs use TCP; tests run whole
// clusters in one process on the simulated network of package simulated.
//
// The package has no state and starts no goroutine. Start reading at Network; tcp.go has the socket options that detect
// a vanished peer.
package network

import (
	"context"
	"net"
)

// Network opens and accepts stream connections. Its methods are safe for concurrent use.
type Network interface {
	// Listen returns a listener that accepts connections at an address, "ip:port".
	Listen(address string) (net.Listener, error)
	// Dial opens a connection to an address, "ip:port". Without any response it waits until the context ends.
	Dial(ctx context.Context, address string) (net.Conn, error)
}
