package controlplane

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
)

const (
	// pingTimeout is how long a process that was reported has to answer.
	pingTimeout = 120 * time.Millisecond
	// pingAttempts: the first may find no more than that a connection from before has ended.
	pingAttempts = 3
)

// handleFailureReport takes in that a process could not be reached. The primary pings it: where nothing listens at the
// address any more, or another process answers, the lease ends at once; a process that does not answer is marked as
// unresponsive until it renews its lease. Many report the same process; those that come when that is known change
// nothing.
func (p *Plane) handleFailureReport(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var report cluster.FailureReport
	if err := call.Decode(&report); err != nil {
		return nil, nil, err
	}
	if err := p.member.RequirePrimary(); err != nil {
		return nil, nil, err
	}
	info, live := p.leases.Live(report.Node, time.Now())
	if !live || info.Address != report.Address {
		return nil, nil, nil
	}
	asked := time.Now()
	switch p.ping(ctx, info) {
	case pingDead:
		if p.leases.Revoke(info, time.Now()) {
			p.logger.Info("process found dead", zap.String("node", info.Name))
		}
	case pingUnanswered:
		p.leases.MarkUnresponsive(info, asked)
	}
	return nil, nil, nil
}

// pingResult is what a ping shows of a process.
type pingResult uint8

const (
	pingAlive      pingResult = iota
	pingDead                  // it surely has ended
	pingUnanswered            // nothing is heard of it
)

// ping asks a process whether it is there.
func (p *Plane) ping(ctx context.Context, info cluster.NodeInfo) pingResult {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	client := p.options.Pool.Get(info.Address)
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
