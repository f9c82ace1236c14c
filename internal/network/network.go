// Package network separates the system's processes from the wire. The programs run on TCP; tests run whole clusters in
// one process on the simulated network in the package simulated.
//
// The package has no state and starts no goroutine. Start reading at Network; TCP says which options of the operating
// system make a vanished peer noticed.
package network

import (
	"context"
	"net"
)

// Network opens and accepts stream connections. Its methods may be called concurrently.
type Network interface {
	// Listen accepts connections at an address, "ip:port".
	Listen(address string) (net.Listener, error)
	// Dial opens a connection to an address, "ip:port". While nothing answers, it waits for the context's end.
	Dial(ctx context.Context, address string) (net.Conn, error)
}
