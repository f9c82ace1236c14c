package controlplane

import (
	"context"
	"errors"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/lease"
	"gladepick/internal/rpc"
)

const (
	// pingTimeout bounds one ping, including all its attempts.
	pingTimeout = 120 * time.Millisecond
	// pingAttempts is more than 1, because a closed pooled connection alone can make the first attempt fail.
	pingAttempts = 3
)

// pingResult is the state of a process as a ping shows it.
type pingResult uint8

const (
	pingAlive      pingResult = iota
	pingDead                  // the process has certainly ended
	pingUnanswered            // no answer within pingTimeout
)

// pingReport is the result of a ping and the time at which the ping started.
type pingReport struct {
	result  pingResult
	started time.Time
}

// pinger pings processes. Many callers may ask about the same process at once, because every partition's primary and
// every front reports failures on its own. Concurrent callers share one ping.
type pinger struct {
	leases   *lease.Table
	pool     *rpc.Pool
	inFlight singleflight.Group // keyed by name and incarnation
}

// newPinger returns a pinger for the processes that have leases.
func newPinger(leases *lease.Table, pool *rpc.Pool) *pinger {
	return &pinger{leases: leases, pool: pool}
}

// responds reports whether a process holds a valid lease and answers a ping.
func (p *pinger) responds(ctx context.Context, name string) bool {
	info, live := p.leases.Live(name, time.Now())
	return live && p.ping(ctx, info).result == pingAlive
}

// ping pings a process, or waits for the result of a ping of the same incarnation that is already in flight.
func (p *pinger) ping(ctx context.Context, info cluster.NodeInfo) pingReport {
	asked := time.Now()
	shared := p.inFlight.DoChan(info.Name+"/"+info.Incarnation, func() (any, error) {
		started := time.Now()
		return pingReport{result: p.call(info), started: started}, nil
	})
	select {
	case result := <-shared:
		return result.Val.(pingReport)
	case <-ctx.Done():
		return pingReport{result: pingUnanswered, started: asked}
	}
}

// call sends the RPCs of one ping, up to pingAttempts of them.
func (p *pinger) call(info cluster.NodeInfo) pingResult {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	client := p.pool.Get(info.Address)
	for range pingAttempts {
		var answer cluster.PingResponse
		_, err := client.Call(ctx, cluster.MethodPing, struct{}{}, nil, &answer)
		switch {
		case err == nil && answer.Name == info.Name && answer.Incarnation == info.Incarnation:
			return pingAlive
		case err == nil:
			return pingDead
		case ctx.Err() != nil:
			return pingUnanswered
		case errors.Is(err, syscall.ECONNREFUSED):
			return pingDead
		}
	}
	return pingAlive
}
