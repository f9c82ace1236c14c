package rpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/network"
)

// losingNetwork loses the first dials: nobody ever answers them.
type losingNetwork struct {
	network.Network
	lost  int32
	dials atomic.Int32
}

func (n *losingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.dials.Add(1) <= n.lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.Network.Dial(ctx, address)
}

func TestLostDialIsRepeated(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		losing := &losingNetwork{Network: f.network.Host(clientIP), lost: 2}
		f.client = NewClient(losing, serverAddress)
		defer f.client.Close()
		started := time.Now()
		f.assertDoubles(t)
		took := time.Since(started)
		assert.Assert(t, took >= 2*dialHedgeDelay && took < 3*dialHedgeDelay, took)
		f.assertDoubles(t)
		assert.Equal(t, losing.dials.Load(), int32(3))
	})
}

func TestLostDialsEndWithTheTimeout(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		losing := &losingNetwork{Network: f.network.Host(clientIP), lost: 1000}
		f.client = NewClient(losing, serverAddress)
		defer f.client.Close()
		started := time.Now()
		_, err := f.client.Call(t.Context(), "double", number{}, nil, nil)
		assert.ErrorIs(t, err, ErrNotSent)
		assert.Equal(t, time.Since(started), dialTimeout)
	})
}
