package simcluster

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"gladepick/internal/network"
)

// processNetwork is the network as a process sees it. It fails once the process has ended.
type processNetwork struct {
	network.Network
	dead atomic.Bool
}

// Listen implements network.Network.
func (n *processNetwork) Listen(address string) (net.Listener, error) {
	if n.dead.Load() {
		return nil, syscall.ENETDOWN
	}
	return n.Network.Listen(address)
}

// Dial implements network.Network. What is left of a process that has ended gets no connections.
func (n *processNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.dead.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(deadDialTime):
		}
		return nil, syscall.ENETDOWN
	}
	return n.Network.Dial(ctx, address)
}
