package scale

import (
	"context"
	"net"
	"sync/atomic"

	"ivyfold/internal/network"
)

// traffic counts the bytes that hollow dispatchers exchange with the control group, both ways.
type traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// total is the sum of both ways.
func (t *traffic) total() int64 { return t.sent.Load() + t.received.Load() }

// countingNetwork counts the bytes of the connections that are dialed through it.
type countingNetwork struct {
	network.Network
	traffic *traffic
}

// Dial implements network.Network.
func (n countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConnection{Conn: connection, traffic: n.traffic}, nil
}

type countingConnection struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.traffic.received.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c countingConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.traffic.sent.Add(int64(count))
	return count, err
}
