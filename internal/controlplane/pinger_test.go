package controlplane

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/lease"
	"gladepick/internal/network/simulated"
	"gladepick/internal/rpc"
)

// pingedProcess is a process that answers pings, and counts them.
type pingedProcess struct {
	info   cluster.NodeInfo
	pings  atomic.Int32
	server *rpc.Server
}

// startPinged starts a process on a simulated network. It answers pings as the given incarnation.
func startPinged(t *testing.T, network *simulated.Network, incarnation string) *pingedProcess {
	t.Helper()
	process := &pingedProcess{
		info:   cluster.NodeInfo{Name: "store-1", Address: "10.0.0.2:7240", Incarnation: "i-1", DiskID: "disk-1", Store: true},
		server: rpc.NewServer(zap.NewNop()),
	}
	process.server.Handle(cluster.MethodPing, func(context.Context, *rpc.Call) (any, []byte, error) {
		process.pings.Add(1)
		time.Sleep(10 * time.Millisecond)
		return cluster.PingResponse{Name: process.info.Name, Incarnation: incarnation}, nil, nil
	})
	listener, err := network.Host("10.0.0.2").Listen(process.info.Address)
	assert.NilError(t, err)
	go process.server.Serve(listener)
	return process
}

func TestPing(t *testing.T) {
	cases := map[string]struct {
		incarnation string // of the process that answers
		isolated    bool
		killed      bool
		want        pingResult
	}{
		"answers":             {incarnation: "i-1", want: pingAlive},
		"another incarnation": {incarnation: "i-2", want: pingDead},
		"cut off":             {incarnation: "i-1", isolated: true, want: pingUnanswered},
		"killed":              {incarnation: "i-1", killed: true, want: pingDead},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := simulated.New(1)
				process := startPinged(t, network, each.incarnation)
				defer process.server.Close()
				pool := rpc.NewPool(network.Host("10.0.0.1"))
				defer pool.Close()
				pinger := newPinger(lease.NewTable(func() {}), pool)
				if each.isolated {
					network.Isolate("10.0.0.1", "10.0.0.2")
				}
				if each.killed {
					network.Kill("10.0.0.2")
				}
				started := time.Now()
				report := pinger.ping(t.Context(), process.info)
				assert.Equal(t, report.result, each.want)
				assert.Equal(t, report.started, started)
				assert.Assert(t, time.Since(started) <= pingTimeout)
			})
		})
	}
}

// TestConcurrentPingsAreShared pings one process from many callers at once, one of which cancels its call. The process
// must receive a single ping.
func TestConcurrentPingsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simulated.New(1)
		process := startPinged(t, network, "i-1")
		defer process.server.Close()
		pool := rpc.NewPool(network.Host("10.0.0.1"))
		defer pool.Close()
		leases := lease.NewTable(func() {})
		leases.Renew(process.info, time.Now())
		pinger := newPinger(leases, pool)
		cancelled, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		callers.Go(func() { assert.Check(t, !pinger.responds(cancelled, process.info.Name)) })
		for range 20 {
			callers.Go(func() { assert.Check(t, pinger.responds(t.Context(), process.info.Name)) })
		}
		time.Sleep(time.Millisecond)
		cancel()
		callers.Wait()
		assert.Equal(t, process.pings.Load(), int32(1))
		assert.Assert(t, pinger.responds(t.Context(), process.info.Name))
		assert.Equal(t, process.pings.Load(), int32(2))
		time.Sleep(cluster.LeaseDuration)
		assert.Assert(t, !pinger.responds(t.Context(), process.info.Name), "the lease has expired")
	})
}
