package simcluster

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"gladepick/internal/network"
)

// processNetwork is the network that one process uses. Once the process has ended, its calls fail with ENETDOWN.
type processNetwork struct {
	network.Network
	ended atomic.Bool
}

// Listen implements network.Network.
func (n *processNetwork) Listen(address string) (net.Listener, error) {
	if n.ended.Load() {
		return nil, syscall.ENETDOWN
	}
	return n.Network.Listen(address)
}

// Dial implements network.Network. The remaining goroutines of a process that has ended get no connections: their calls
// fail after endedProcessDialTimeout.
func (n *processNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.ended.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(endedProcessDialTimeout):
		}
		return nil, syscall.ENETDOWN
	}
	return n.Network.Dial(ctx, address)
}
