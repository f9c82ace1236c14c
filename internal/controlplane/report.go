package controlplane

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"ivyfold/internal/cluster"
	"ivyfold/internal/rpc"
)

const (
	// pingTimeout is how long a process that was reported as dead has to answer.
	pingTimeout = 200 * time.Millisecond
	// pingTries: the first may find no more than that a connection from before has ended.
	pingTries = 3
)

// handleReport takes in that a process could not be reached. The primary looks for itself: where nothing listens at
// the address any more, or another process answers, the lease ends at once. Many report the same process; those that
// come when its lease has ended change nothing.
func (p *Plane) handleReport(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var report cluster.Report
	if err := call.Decode(&report); err != nil {
		return nil, nil, err
	}
	if err := p.requirePrimary(); err != nil {
		return nil, nil, err
	}
	info, live := p.leases.live(report.Node, time.Now())
	if !report.Refused || !live || info.Address != report.Address {
		return nil, nil, nil
	}
	if p.isDead(ctx, info) && p.leases.refuse(info, time.Now()) {
		p.logger.Info("process found dead", zap.String("node", info.Name))
	}
	return nil, nil, nil
}

// isDead tells whether a process surely has ended.
func (p *Plane) isDead(ctx context.Context, info cluster.NodeInfo) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	client := p.options.Pool.Get(info.Address)
	for range pingTries {
		var answer cluster.PingAnswer
		_, err := client.Call(ctx, cluster.MethodPing, struct{}{}, nil, &answer)
		switch {
		case err == nil:
			return answer.Name != info.Name || answer.Incarnation != info.Incarnation
		case ctx.Err() != nil:
			return false
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		}
	}
	return false
}
