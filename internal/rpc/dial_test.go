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

// lossyNetwork loses the first dials: they get no response until their context ends.
type lossyNetwork struct {
	network.Network
	lost  int32 // number of dials to lose
	dials atomic.Int32
}

func (n *lossyNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.dials.Add(1) <= n.lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.Network.Dial(ctx, address)
}

func TestLostDialIsHedged(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		lossy := &lossyNetwork{Network: f.network.Host(clientIP), lost: 2}
		f.client = NewClient(lossy, serverAddress)
		defer f.client.Close()
		started := time.Now()
		f.assertCallSucceeds(t)
		took := time.Since(started)
		assert.Assert(t, took >= 2*dialHedgeDelay && took < 3*dialHedgeDelay, took)
		f.assertCallSucceeds(t)
		assert.Equal(t, lossy.dials.Load(), int32(3))
	})
}

func TestLostDialsFailAtTimeout(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		lossy := &lossyNetwork{Network: f.network.Host(clientIP), lost: 1000}
		f.client = NewClient(lossy, serverAddress)
		defer f.client.Close()
		started := time.Now()
		_, err := f.client.Call(t.Context(), "double", number{}, nil, nil)
		assert.ErrorIs(t, err, ErrNotSent)
		assert.Equal(t, time.Since(started), dialTimeout)
	})
}
